package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// pushDelay is how long changes are gathered before they are pushed.
	pushDelay = 20 * time.Millisecond
	// pushFanout is how many peers get a push. What it misses goes with pings.
	pushFanout = 3
)

// pushLoop hands fresh changes to a few random peers of the data centre, which do
// the same: a change is everywhere after a few hops.
func (s *Service) pushLoop(ctx context.Context) {
	for {
		select {
		case <-s.fresh:
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

// pushOnce sends one message to each of a few peers. It returns false when there
// is nothing fresh.
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
	if s.broadcasts.fresh == 0 {
		return pushRequest{}, nil
	}
	targets := s.table.relays("", s.self.Node, pushFanout, nil, s.random)
	n := s.ownNews()
	n.Records, n.Contacts = s.broadcasts.take(pushLimit, s.delegation.nodes)
	return pushRequest{n}, targets
}
