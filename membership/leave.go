package membership

import (
	"context"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// announceConcurrency is the number of peers notified concurrently.
const announceConcurrency = 16

// Leave announces that this node is leaving: it finishes its current work and
// takes no new work. All responsive peers of the data centre are notified before
// it returns; other data centres learn of it with their next exchange. If the
// context ends first, its error is returned and the change spreads by gossip
// alone.
func (s *Service) Leave(ctx context.Context) error { return s.announce(ctx, intentLeaving) }

// AnnounceStopped announces that this incarnation has ended. It is the last call
// before the transport is closed. It notifies the same peers as Leave.
func (s *Service) AnnounceStopped(ctx context.Context) error { return s.announce(ctx, intentStopped) }

func (s *Service) announce(ctx context.Context, in intent) error {
	request, peers := s.raiseIntent(in)
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(announceConcurrency)
	for _, to := range peers {
		group.Go(func() error {
			s.pushTo(groupCtx, to, request)
			return nil
		})
	}
	_ = group.Wait()
	return ctx.Err()
}

// pushTo sends a push to one peer. A peer that does not answer receives the
// change through others.
func (s *Service) pushTo(ctx context.Context, to domain.Member, request pushRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
	defer cancel()
	_, _ = peer.Call[pushRequest, empty](ctx, s.transport, to, methodPush, request)
}

// raiseIntent changes this node's intent, never back to an earlier one, and
// returns the push message and the peers to send it to.
func (s *Service) raiseIntent(in intent) (pushRequest, []domain.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in > s.local.intent {
		s.setLocalState(s.local.version+1, in)
		s.publish()
	}
	var peers []domain.Member
	for _, node := range s.table.responsiveNodes() {
		if node != s.self.Node {
			peers = append(peers, s.table.entries[node].member())
		}
	}
	return pushRequest{s.localPayload()}, peers
}
