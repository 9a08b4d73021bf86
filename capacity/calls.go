package capacity

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// ownerAttempts is the most owners asked in a row for one ask.
const ownerAttempts = 3

// call asks another node, or serves the request here if it is this one.
func call[Request, Reply any](ctx context.Context, s *Service, to domain.Member, timeout time.Duration,
	method peer.Method, request Request, local func(domain.Member, *Request) Reply) (Reply, error) {
	if to.SameIncarnation(s.self) {
		return local(s.self, &request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peer.Call[Request, Reply](ctx, s.transport, to, method, request)
}

// request asks the link's owner for a place, and follows its word about another
// owner. The result is in the hold's state at the ask's deadline at the latest.
func (h *hold) request(ctx context.Context, m mode) {
	ctx, cancel := context.WithDeadline(ctx, h.due)
	defer cancel()
	h.setMode(m)
	for range ownerAttempts {
		owner, known := h.link.current()
		if !known {
			h.failed()
			return
		}
		if !h.requestFrom(ctx, owner, m) {
			return
		}
	}
	h.failed()
}

// requestFrom asks one owner. It reports whether another one is to be asked.
func (h *hold) requestFrom(ctx context.Context, owner domain.Member, m mode) (again bool) {
	s := h.service
	now := time.Now()
	request := askRequest{ID: h.id, Ask: h.outstanding(now), Mode: m}
	reply, err := call(ctx, s, owner, s.options.CallTimeout, methodAsk, request, s.serveAsk)
	if err != nil {
		s.counts.unreachable.Inc()
		h.failed()
		return false
	}
	if reply.Verdict == verdictMoved {
		return reply.Owner != nil && s.follow(h.link, *reply.Owner)
	}
	if h.apply(owner, reply, time.Now()) {
		s.release(owner, h.link.key.pool, h.id, nil)
	}
	return h.unanswered()
}

// unanswered reports whether the owner's reply came too late to count, because
// this node deals with another one by now.
func (h *hold) unanswered() bool {
	state, _ := h.get()
	return state == holdAsked
}

// follow takes an owner's word about another one, and registers with that.
func (s *Service) follow(l *link, owner domain.Member) bool {
	if !l.follow(owner, time.Now()) {
		return false
	}
	s.background(func(ctx context.Context) { s.registerAll(ctx, l) })
	return true
}

func (h *hold) setMode(m mode) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.mode = m
}

// release gives a place back, or withdraws an ask. If the message is lost, the
// next renewals tell.
func (s *Service) release(to domain.Member, pool domain.PoolName, id askID, result *Result) {
	message := releaseMessage{Pool: pool, ID: id, Result: result}
	if to.SameIncarnation(s.self) {
		s.serveRelease(s.self, &message)
		return
	}
	if err := peer.Send(s.base, s.transport, to, methodRelease, message); err != nil {
		s.options.Logger.Debug().Err(err).Stringer("to", to).Msg("capacity: release not sent")
	}
}

// noticed takes the rulings that an owner sent.
func (s *Service) noticed(from domain.Member, n notice) {
	l := s.links.find(linkKey{from.DataCentre, n.Pool})
	for _, r := range n.Rulings {
		// A place that is not known here is given back once more: the owner has not
		// heard of its release.
		giveBack := r.Verdict == verdictGranted || r.Verdict == verdictRevoked
		if l != nil {
			if h := l.hold(r.ID); h != nil {
				giveBack = h.apply(from, r, time.Now())
			}
		}
		if giveBack {
			s.counts.givenBack.Inc()
			s.release(from, n.Pool, r.ID, nil)
		}
	}
}

// hold returns an ask or grant of the account, or nil.
func (l *link) hold(id askID) *hold {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holds[id]
}
