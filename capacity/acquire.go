package capacity

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// maxMoveAttempts is the most data centres tried after one round of quotes.
const maxMoveAttempts = 3

// acquisition drives one request until it is granted or refused. It is in at most one
// owner's queue, except while it moves to another.
type acquisition struct {
	s             *Service
	request       Request
	firstTokenDue time.Time
	due           time.Time
	wake          chan struct{}
	// handle is the request at its present owner.
	handle *handle
	// moveCount counts moves between data centres.
	moveCount int
	// failedSince is when the owner was first found unreachable.
	failedSince  time.Time
	lastSearchAt time.Time
}

// Acquire implements Client.
func (s *Service) Acquire(ctx context.Context, request Request) (Grant, error) {
	now := time.Now()
	a := &acquisition{
		s:       s,
		request: request,
		due:     now.Add(request.Deadline),
		wake:    make(chan struct{}, 1),
	}
	if request.FirstToken > 0 {
		a.firstTokenDue = now.Add(request.FirstToken)
	}
	grant, err := a.run(ctx)
	if err != nil {
		return nil, err
	}
	s.counts.granted.Inc()
	return grant, nil
}

// isLocal reports whether the request is queued in this node's own data centre, or in
// one that serves it instead because its own does not serve the pool.
func (a *acquisition) isLocal() bool {
	return a.handle.link.key.dc == a.s.self.DataCentre || a.handle.getMode() == modeUnservedLocally
}

// run drives the request to a grant or a refusal.
func (a *acquisition) run(ctx context.Context) (Grant, error) {
	a.enqueue(ctx, a.s.self.DataCentre, modeInitial)
	for {
		if err := ctx.Err(); err != nil {
			a.handle.cancel()
			return nil, err
		}
		state, r := a.handle.current()
		switch state {
		case handleGranted:
			return a.handle, nil
		case handleRefused:
			if refusal := a.handleRefusal(ctx, r); refusal != nil {
				return nil, a.s.refusal(refusal)
			}
		case handleSearch:
			a.searchElsewhere(ctx, r)
		case handleFailed:
			a.retryOwner(ctx)
		default:
			a.wait(ctx, a.due)
		}
		if state != handleGranted && !time.Now().Before(a.due) {
			if grant, err := a.expire(); grant != nil || err != nil {
				return grant, err
			}
		}
	}
}

// expire ends the request at its deadline, unless it has been granted meanwhile.
func (a *acquisition) expire() (Grant, error) {
	if state, _ := a.handle.current(); state == handleGranted {
		return a.handle, nil
	}
	a.handle.cancel()
	return nil, a.s.refusal(&Refusal{Err: ErrDeadline, RetryAfter: minRetryAfter})
}

// enqueue sends the request to the owner of its pool in a data centre.
func (a *acquisition) enqueue(ctx context.Context, dc domain.DataCentre, m mode) {
	a.handle = a.newHandle(dc)
	if !a.s.currentLayout().serves(dc, a.request.Pool) {
		a.handle.refuseLocally(reasonNoEndpoint)
		return
	}
	a.handle.send(ctx, m)
}

func (a *acquisition) newHandle(dc domain.DataCentre) *handle {
	h := &handle{
		service:       a.s,
		link:          a.s.links.get(linkKey{dc, a.request.Pool}, a.s.currentLayout()),
		id:            requestID(a.s.lastID.Add(1)),
		request:       a.request,
		firstTokenDue: a.firstTokenDue,
		due:           a.due,
		wake:          a.wake,
		revoked:       make(chan struct{}),
	}
	h.link.add(h)
	return h
}

// refuseLocally refuses a request that was not sent to any owner.
func (h *handle) refuseLocally(why reason) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.decision = decision{ID: h.id, Kind: decisionRefused, Reason: why, RetryAfter: minRetryAfter}
	h.setState(handleRefused)
}

// drainWake discards a pending wake signal. The caller must read the state again
// afterwards, since the state is set before the signal.
func (a *acquisition) drainWake() {
	select {
	case <-a.wake:
	default:
	}
}

// wait returns when the state changes, the context ends or the given time comes.
func (a *acquisition) wait(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-a.wake:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handleRefusal tries other data centres after an owner's refusal. It returns the
// refusal if none of them takes the request.
func (a *acquisition) handleRefusal(ctx context.Context, r decision) *Refusal {
	refusal := &Refusal{Err: r.Reason.Err(), RetryAfter: r.RetryAfter}
	wasLocal := a.isLocal()
	a.handle.removeRefused()
	if r.Reason == reasonQuarantined {
		return refusal
	}
	if !wasLocal {
		a.requeueLocally(ctx)
		return nil
	}
	if a.moveCount < a.s.options.MaxMoves && a.moveWithoutRevoking(ctx, true) {
		return nil
	}
	if r.Reason == reasonNoEndpoint && a.moveToServing(ctx) {
		return nil
	}
	if a.moveCount < 2*a.s.options.MaxMoves && a.moveByRevoking(ctx, true) {
		return nil
	}
	return refusal
}

// removeRefused takes a request that its owner has refused out of the link's records.
func (h *handle) removeRefused() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.removeFromLink()
}

// requeueLocally sends the request to its own data centre's owner again.
func (a *acquisition) requeueLocally(ctx context.Context) {
	m := modeInitial
	if a.moveCount >= a.s.options.MaxMoves {
		m = modeFinal
	}
	a.enqueue(ctx, a.s.self.DataCentre, m)
}

// searchElsewhere tries the other data centres while the request stays queued at its
// present owner. If none takes it, the owner is notified that it has to serve the
// request itself.
func (a *acquisition) searchElsewhere(ctx context.Context, r decision) {
	if a.moveCount < a.s.options.MaxMoves && a.moveWithoutRevoking(ctx, r.DeadlineAtRisk) {
		return
	}
	if !r.CanRevoke && a.moveByRevoking(ctx, r.DeadlineAtRisk) {
		return
	}
	if state, _ := a.handle.current(); state == handleSearch {
		a.handle.searchDone()
		a.handle.send(ctx, modeFinal)
	}
}

func (h *handle) getMode() mode {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	return h.mode
}

// searchDone notes that the other data centres have been tried.
func (h *handle) searchDone() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	if h.state == handleSearch {
		h.state = handleSent
	}
}

// retryOwner sends the request again, after a pause, to an owner that did not reply.
// Once the owner has failed for OwnerFailureTimeout, the other data centres are tried
// as well.
func (a *acquisition) retryOwner(ctx context.Context) {
	now := time.Now()
	if !a.isLocal() {
		a.handle.cancel()
		a.requeueLocally(ctx)
		return
	}
	if a.failedSince.IsZero() {
		a.failedSince = now
	}
	long := now.Sub(a.failedSince) >= a.s.options.OwnerFailureTimeout
	if long && now.Sub(a.lastSearchAt) >= a.s.options.OwnerFailureTimeout {
		a.lastSearchAt = now
		if a.moveWithoutRevoking(ctx, true) || a.moveByRevoking(ctx, true) {
			return
		}
	}
	// The failure itself has set wake. Without draining it, an owner whose calls fail
	// immediately would be called in a loop without a pause.
	a.drainWake()
	if state, _ := a.handle.current(); state == handleFailed {
		a.wait(ctx, earlier(now.Add(a.s.options.RetryInterval), a.due))
	}
	if state, _ := a.handle.current(); state != handleFailed || ctx.Err() != nil || !time.Now().Before(a.due) {
		return
	}
	a.handle.send(ctx, a.handle.getMode())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Service) refusal(r *Refusal) error {
	s.counts.refused(r.Err)
	return r
}
