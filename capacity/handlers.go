package capacity

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// handle registers the handlers of all methods.
func (s *Service) handle() {
	t := s.transport
	peer.Handle(t, methodAsk, func(_ context.Context, from domain.Member, r askRequest) (ruling, error) {
		return s.serveAsk(from, &r), nil
	})
	peer.Handle(t, methodNotice, func(_ context.Context, from domain.Member, n notice) (struct{}, error) {
		s.noticed(from, n)
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

func (s *Service) serveAsk(from domain.Member, r *askRequest) ruling {
	var result ruling
	owned := s.withOwner(r.Ask.Pool, func(now time.Time, o *owner, p *pool) {
		result = o.ask(now, from, p, r)
	})
	if !owned {
		return s.movedRuling(r)
	}
	return result
}

// movedRuling names the owner, if there is one.
func (s *Service) movedRuling(r *askRequest) ruling {
	owner, ok := s.current().owner(s.self.DataCentre, r.Ask.Pool)
	if !ok {
		return ruling{ID: r.ID, Verdict: verdictRefused, Reason: reasonNoEndpoint, RetryAfter: retryMin}
	}
	return ruling{ID: r.ID, Verdict: verdictMoved, Owner: &owner}
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
		if owner, ok := s.current().owner(s.self.DataCentre, r.Pool); ok {
			reply.Moved = append(reply.Moved, movedPool{Pool: r.Pool, Owner: owner})
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
	asks, err := decodeIDs(r.Asks)
	if err != nil {
		return listReply{}, fmt.Errorf("asks: %w", err)
	}
	var unknown []askID
	s.withOwner(r.Pool, func(now time.Time, o *owner, p *pool) {
		unknown = o.list(now, from, p, grants, asks)
	})
	return listReply{Unknown: encodeIDs(unknown)}, nil
}

func (s *Service) serveRegister(from domain.Member, r *registerRequest) registerReply {
	var rulings []ruling
	owned := s.withOwner(r.Pool, func(now time.Time, o *owner, p *pool) {
		rulings = o.register(now, from, p, r.Records)
	})
	if owned {
		return registerReply{Rulings: rulings}
	}
	owner, ok := s.current().owner(s.self.DataCentre, r.Pool)
	if !ok {
		return registerReply{}
	}
	return registerReply{Owner: &owner}
}

func (s *Service) serveQuote(r *quoteRequest) quote {
	var result quote
	owned := s.withOwner(r.Ask.Pool, func(now time.Time, o *owner, p *pool) {
		result = o.quote(now, p, &r.Ask)
	})
	if owned {
		return result
	}
	if owner, ok := s.current().owner(s.self.DataCentre, r.Ask.Pool); ok {
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
