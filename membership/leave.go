package membership

import (
	"context"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// announceLimit is how many peers are told at the same time.
const announceLimit = 16

// Leave says that this node leaves: it finishes what it has and takes nothing new.
// All peers of the data centre that answer are told before it returns, other data
// centres learn it by their next exchange. It returns the context's error if that
// ends first; the word then spreads by itself.
func (s *Service) Leave(ctx context.Context) error { return s.announce(ctx, intentLeaving) }

// Farewell says that this life ends, as the last thing before the transport is
// closed. It tells the same peers as Leave does.
func (s *Service) AnnounceStopped(ctx context.Context) error { return s.announce(ctx, intentFarewell) }

func (s *Service) announce(ctx context.Context, in intent) error {
	request, peers := s.raiseIntent(in)
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(announceLimit)
	for _, to := range peers {
		group.Go(func() error {
			s.tell(groupCtx, to, request)
			return nil
		})
	}
	_ = group.Wait()
	return ctx.Err()
}

// tell hands news to one peer. A peer that does not answer gets it by others.
func (s *Service) tell(ctx context.Context, to domain.Member, request pushRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
	defer cancel()
	_, _ = peer.Call[pushRequest, empty](ctx, s.transport, to, methodPush, request)
}

// raiseIntent changes what this node says of itself, never back from farewell or
// leaving, and returns the message and the peers to tell.
func (s *Service) raiseIntent(in intent) (pushRequest, []domain.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in > s.own.intent {
		s.setOwn(s.own.version+1, in)
		s.publish()
	}
	var peers []domain.Member
	for _, node := range s.table.answering() {
		if node != s.self.Node {
			peers = append(peers, s.table.entries[node].member())
		}
	}
	return pushRequest{s.ownNews()}, peers
}
