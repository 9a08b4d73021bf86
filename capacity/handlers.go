package capacity

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

func (s *Service) registerHandlers() {
	t := s.transport
	peer.Handle(t, methodAcquire, func(_ context.Context, from domain.Member, r acquireMessage) (decision, error) {
		return s.serveAcquire(from, &r), nil
	})
	peer.Handle(t, methodNotice, func(_ context.Context, from domain.Member, n notice) (struct{}, error) {
		s.handleNotice(from, n)
		return struct{}{}, nil
	})
	peer.Handle(t, methodRelease, func(_ context.Context, from domain.Member, m releaseMessage) (struct{}, error) {
		s.serveRelease(from, &m)
		return struct{}{}, nil
	})
	peer.Handle(t, methodRenew, func(_ context.Context, from domain.Member, r renewal) (renewalReply, error) {
		return s.serveRenew(from, &r), nil
	})
	peer.Handle(t, methodList, func(_ context.Context, from domain.Member, r listRequest) (listReply, error) {
		return s.serveList(from, &r)
	})
	peer.Handle(t, methodRegister, func(_ context.Context, from domain.Member, r registerRequest) (registerReply, error) {
		return s.serveRegister(from, &r), nil
	})
	peer.Handle(t, methodCollect, func(_ context.Context, _ domain.Member, r collectRequest) (collectReply, error) {
		return s.serveCollect(&r), nil
	})
	peer.Handle(t, methodQuote, func(_ context.Context, _ domain.Member, r quoteRequest) (quote, error) {
		return s.serveQuote(&r), nil
	})
	peer.Handle(t, methodLeaving, func(_ context.Context, from domain.Member, m leavingMessage) (struct{}, error) {
		s.serveLeaving(from, &m)
		return struct{}{}, nil
	})
}

func (s *Service) serveAcquire(from domain.Member, r *acquireMessage) decision {
	var result decision
	owned := s.withOwner(r.Request.Pool, func(now time.Time, o *owner, p *pool) {
		result = o.acquire(now, from, p, r)
	})
	if !owned {
		return s.notOwnerDecision(r)
	}
	return result
}

// notOwnerDecision redirects to the owner, if there is one.
func (s *Service) notOwnerDecision(r *acquireMessage) decision {
	owner, ok := s.currentLayout().owner(s.self.DataCentre, r.Request.Pool)
	if !ok {
		return decision{ID: r.ID, Kind: decisionRefused, Reason: reasonNoEndpoint, RetryAfter: minRetryAfter}
	}
	return decision{ID: r.ID, Kind: decisionNotOwner, Owner: &owner}
}

func (s *Service) serveRelease(from domain.Member, m *releaseMessage) {
	s.withOwner(m.Pool, func(now time.Time, o *owner, p *pool) {
		o.release(now, from, p, m)
	})
}

func (s *Service) serveRenew(from domain.Member, r *renewal) renewalReply {
	var reply renewalReply
	for i := range r.Pools {
		s.serveRenewPool(from, &r.Pools[i], &reply)
	}
	return reply
}

func (s *Service) serveRenewPool(from domain.Member, r *poolRenewal, reply *renewalReply) {
	same := false
	owned := s.withOwner(r.Pool, func(now time.Time, o *owner, p *pool) {
		same = o.renew(now, from, p, r)
	})
	if !owned {
		if owner, ok := s.currentLayout().owner(s.self.DataCentre, r.Pool); ok {
			reply.Redirected = append(reply.Redirected, redirectedPool{Pool: r.Pool, Owner: owner})
		}
		return
	}
	if !same {
		reply.Differ = append(reply.Differ, r.Pool)
	}
}

func (s *Service) serveList(from domain.Member, r *listRequest) (listReply, error) {
	grants, err := decodeIDs(r.Grants)
	if err != nil {
		return listReply{}, fmt.Errorf("grants: %w", err)
	}
	requests, err := decodeIDs(r.Requests)
	if err != nil {
		return listReply{}, fmt.Errorf("requests: %w", err)
	}
	var unknown []requestID
	s.withOwner(r.Pool, func(now time.Time, o *owner, p *pool) {
		unknown = o.list(now, from, p, grants, requests)
	})
	return listReply{Unknown: encodeIDs(unknown)}, nil
}

func (s *Service) serveRegister(from domain.Member, r *registerRequest) registerReply {
	var decisions []decision
	owned := s.withOwner(r.Pool, func(now time.Time, o *owner, p *pool) {
		decisions = o.register(now, from, p, r.Records)
	})
	if owned {
		return registerReply{Decisions: decisions}
	}
	owner, ok := s.currentLayout().owner(s.self.DataCentre, r.Pool)
	if !ok {
		return registerReply{}
	}
	return registerReply{Owner: &owner}
}

func (s *Service) serveQuote(r *quoteRequest) quote {
	var result quote
	owned := s.withOwner(r.Request.Pool, func(now time.Time, o *owner, p *pool) {
		result = o.quote(now, p, &r.Request)
	})
	if owned {
		return result
	}
	if owner, ok := s.currentLayout().owner(s.self.DataCentre, r.Request.Pool); ok {
		return quote{Refused: reasonNoEndpoint, Owner: &owner}
	}
	return quote{Refused: reasonNoEndpoint}
}

func (s *Service) serveLeaving(from domain.Member, m *leavingMessage) {
	row, ok := s.endpointRow(m.Endpoint)
	if !ok {
		return
	}
	for _, name := range row.PoolNames() {
		s.withOwner(name, func(now time.Time, o *owner, _ *pool) {
			o.setLeaving(now, from.Node, m.Endpoint, m.Leaving)
		})
	}
}
