package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// pushDelay is how long changes are collected before a push.
	pushDelay = 20 * time.Millisecond
)

// pushLoop sends new changes to a few peers of the data centre, which do the same,
// so that a change reaches all nodes within a few hops. Changes that a push misses
// are piggybacked on pings.
func (s *Service) pushLoop(ctx context.Context) {
	for {
		select {
		case <-s.pushPending:
		case <-ctx.Done():
			return
		}
		if !pacing.Sleep(ctx, pushDelay) {
			return
		}
		for s.pushOnce(ctx) {
		}
	}
}

// pushOnce sends one message to each of a few peers. It returns false if there is
// nothing new to send.
func (s *Service) pushOnce(ctx context.Context) bool {
	request, targets := s.nextPush()
	for _, to := range targets {
		s.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
			defer cancel()
			_ = peer.Send(ctx, s.transport, to, methodPush, request)
		})
	}
	return len(targets) > 0
}

func (s *Service) nextPush() (pushRequest, []domain.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broadcasts.unsent == 0 {
		return pushRequest{}, nil
	}
	var targets []domain.Member
	for _, node := range s.delegation.ring.pushTargets(s.self.Node) {
		targets = append(targets, s.table.entries[node].member())
	}
	payload := s.localPayload()
	payload.Records, payload.Reachability = s.broadcasts.take(pushLimit, s.delegation.nodeCount)
	return pushRequest{payload}, targets
}
