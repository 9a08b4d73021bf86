package capacity

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// maxOwnerAttempts is the most owners tried in a row for one request.
const maxOwnerAttempts = 3

// call calls another node, or handles the request locally if the node is this one.
func call[Req, Resp any](ctx context.Context, s *Service, to domain.Member, timeout time.Duration,
	method peer.Method, request Req, local func(domain.Member, *Req) Resp) (Resp, error) {
	if to.SameIncarnation(s.self) {
		return local(s.self, &request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peer.Call[Req, Resp](ctx, s.transport, to, method, request)
}

// send sends the request to the link's owner and follows redirects to another owner.
// The result is in the handle's state no later than the request's deadline.
func (h *handle) send(ctx context.Context, m mode) {
	ctx, cancel := context.WithDeadline(ctx, h.due)
	defer cancel()
	h.setMode(m)
	for range maxOwnerAttempts {
		owner, known := h.link.currentOwner()
		if !known {
			h.fail()
			return
		}
		if !h.sendTo(ctx, owner, m) {
			return
		}
	}
	h.fail()
}

// sendTo sends the request to one owner. It reports whether another one must be tried.
func (h *handle) sendTo(ctx context.Context, owner domain.Member, m mode) (again bool) {
	s := h.service
	now := time.Now()
	message := acquireMessage{ID: h.id, Request: h.requestAt(now), Mode: m}
	reply, err := call(ctx, s, owner, s.options.CallTimeout, methodAcquire, message, s.serveAcquire)
	if err != nil {
		s.counts.ownerUnreachable.Inc()
		h.fail()
		return false
	}
	if reply.Kind == decisionNotOwner {
		return reply.Owner != nil && s.redirect(h.link, *reply.Owner)
	}
	if h.apply(owner, reply, time.Now()) {
		s.release(owner, h.link.key.pool, h.id, nil)
	}
	return h.isSent()
}

// isSent reports whether the owner's reply was ignored because this node uses another
// owner by now.
func (h *handle) isSent() bool {
	state, _ := h.current()
	return state == handleSent
}

// redirect switches the link to the owner that another node named, and registers with
// it.
func (s *Service) redirect(l *link, owner domain.Member) bool {
	if !l.redirect(owner, time.Now()) {
		return false
	}
	s.background(func(ctx context.Context) { s.registerAll(ctx, l) })
	return true
}

func (h *handle) setMode(m mode) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.mode = m
}

// release returns a grant or cancels a request. A lost message is made up for by the
// next renewals.
func (s *Service) release(to domain.Member, pool domain.PoolName, id requestID, result *Result) {
	message := releaseMessage{Pool: pool, ID: id, Result: result}
	if to.SameIncarnation(s.self) {
		s.serveRelease(s.self, &message)
		return
	}
	if err := peer.Send(s.base, s.transport, to, methodRelease, message); err != nil {
		s.options.Logger.Debug().Err(err).Stringer("to", to).Msg("capacity: release not sent")
	}
}

// handleNotice applies the decisions that an owner sent.
func (s *Service) handleNotice(from domain.Member, n notice) {
	l := s.links.find(linkKey{from.DataCentre, n.Pool})
	for _, r := range n.Decisions {
		// A grant that is unknown here is released again: the owner has not received
		// its release.
		mustRelease := r.Kind == decisionGranted || r.Kind == decisionRevoked
		if l != nil {
			if h := l.find(r.ID); h != nil {
				mustRelease = h.apply(from, r, time.Now())
			}
		}
		if mustRelease {
			s.counts.unknownGrants.Inc()
			s.release(from, n.Pool, r.ID, nil)
		}
	}
}

// find returns the handle with the identifier, or nil.
func (l *link) find(id requestID) *handle {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handles[id]
}
