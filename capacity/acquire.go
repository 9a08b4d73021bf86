package capacity

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// visitAttempts is the most data centres tried after one round of quotes.
const visitAttempts = 3

// acquisition is the way of one ask to a place. It holds at most one place in a
// queue, but for the moment in which it moves.
type acquisition struct {
	s             *Service
	ask           Request
	firstTokenDue time.Time
	due           time.Time
	wake          chan struct{}
	// hold is the ask's place in an owner's queue.
	hold *hold
	// moves counts changes of data centre.
	moves int
	// failedSince is when the owner was first found out of reach.
	failedSince time.Time
	soughtAt    time.Time
}

// Acquire implements Client.
func (s *Service) Acquire(ctx context.Context, ask Request) (Grant, error) {
	now := time.Now()
	a := &acquisition{
		s:    s,
		ask:  ask,
		due:  now.Add(ask.Deadline),
		wake: make(chan struct{}, 1),
	}
	if ask.FirstToken > 0 {
		a.firstTokenDue = now.Add(ask.FirstToken)
	}
	grant, err := a.run(ctx)
	if err != nil {
		return nil, err
	}
	s.counts.granted.Inc()
	return grant, nil
}

// home reports whether the ask waits in this node's own data centre, or where it
// is served in place of it.
func (a *acquisition) home() bool {
	return a.hold.link.key.dc == a.s.self.DataCentre || a.hold.currentMode() == modeHomeless
}

// run leads the ask to a place or a refusal.
func (a *acquisition) run(ctx context.Context) (Grant, error) {
	a.open(ctx, a.s.self.DataCentre, modeFirst)
	for {
		if err := ctx.Err(); err != nil {
			a.hold.withdraw()
			return nil, err
		}
		state, r := a.hold.get()
		switch state {
		case holdGranted:
			return a.hold, nil
		case holdRefused:
			if refusal := a.refused(ctx, r); refusal != nil {
				return nil, a.s.refusal(refusal)
			}
		case holdSeek:
			a.seek(ctx, r)
		case holdFailed:
			a.failed(ctx)
		default:
			a.wait(ctx, a.due)
		}
		if state != holdGranted && !time.Now().Before(a.due) {
			if grant, err := a.expire(); grant != nil || err != nil {
				return grant, err
			}
		}
	}
}

// expire ends the ask at its deadline, unless it has been granted meanwhile.
func (a *acquisition) expire() (Grant, error) {
	if state, _ := a.hold.get(); state == holdGranted {
		return a.hold, nil
	}
	a.hold.withdraw()
	return nil, a.s.refusal(&Refusal{Err: ErrDeadline, RetryAfter: retryMin})
}

// open puts the ask into the queue of a data centre's owner.
func (a *acquisition) open(ctx context.Context, dc domain.DataCentre, m mode) {
	a.hold = a.newHold(dc)
	if !a.s.current().serves(dc, a.ask.Pool) {
		a.hold.refuse(reasonNoEndpoint)
		return
	}
	a.hold.request(ctx, m)
}

func (a *acquisition) newHold(dc domain.DataCentre) *hold {
	h := &hold{
		service:       a.s,
		link:          a.s.links.get(linkKey{dc, a.ask.Pool}, a.s.current()),
		id:            askID(a.s.lastID.Add(1)),
		ask:           a.ask,
		firstTokenDue: a.firstTokenDue,
		due:           a.due,
		wake:          a.wake,
		revoked:       make(chan struct{}),
	}
	h.link.add(h)
	return h
}

// refuse ends an ask that no owner was asked for.
func (h *hold) refuse(why reason) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.ruling = ruling{ID: h.id, Verdict: verdictRefused, Reason: why, RetryAfter: retryMin}
	h.set(holdRefused)
}

// settleWake takes out the signal of changes that have been looked at. The state must
// be read again after it, since it is set before the signal.
func (a *acquisition) settleWake() {
	select {
	case <-a.wake:
	default:
	}
}

// wait returns when the state changes, the context ends or the instant comes.
func (a *acquisition) wait(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-a.wake:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refused looks for a place elsewhere after an owner's refusal. It returns the
// refusal if there is none.
func (a *acquisition) refused(ctx context.Context, r ruling) *Refusal {
	refusal := &Refusal{Err: r.Reason.Err(), RetryAfter: r.RetryAfter}
	wasHome := a.home()
	a.hold.forget()
	if r.Reason == reasonQuarantined {
		return refusal
	}
	if !wasHome {
		a.goHome(ctx)
		return nil
	}
	if a.moves < a.s.options.MaxMoves && a.visit(ctx, true) {
		return nil
	}
	if r.Reason == reasonNoEndpoint && a.settleElsewhere(ctx) {
		return nil
	}
	if a.moves < 2*a.s.options.MaxMoves && a.visitLast(ctx, true) {
		return nil
	}
	return refusal
}

// forget takes a hold that its owner has refused out of the account.
func (h *hold) forget() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.close()
}

// goHome puts the ask into its own data centre's queue again.
func (a *acquisition) goHome(ctx context.Context) {
	m := modeFirst
	if a.moves >= a.s.options.MaxMoves {
		m = modeLast
	}
	a.open(ctx, a.s.self.DataCentre, m)
}

// seek asks the other data centres, while the ask keeps its place in the queue;
// then it is this owner or nobody.
func (a *acquisition) seek(ctx context.Context, r ruling) {
	if a.moves < a.s.options.MaxMoves && a.visit(ctx, r.Late) {
		return
	}
	if !r.Lower && a.visitLast(ctx, r.Late) {
		return
	}
	if state, _ := a.hold.get(); state == holdSeek {
		a.hold.seekDone()
		a.hold.request(ctx, modeLast)
	}
}

func (h *hold) currentMode() mode {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	return h.mode
}

// seekDone notes that the other data centres have been asked.
func (h *hold) seekDone() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	if h.state == holdSeek {
		h.state = holdAsked
	}
}

// failed asks an owner that did not reply again after a while, and the other data
// centres when it has not for long.
func (a *acquisition) failed(ctx context.Context) {
	now := time.Now()
	if !a.home() {
		a.hold.withdraw()
		a.goHome(ctx)
		return
	}
	if a.failedSince.IsZero() {
		a.failedSince = now
	}
	long := now.Sub(a.failedSince) >= a.s.options.OwnerFailureTimeout
	if long && now.Sub(a.soughtAt) >= a.s.options.OwnerFailureTimeout {
		a.soughtAt = now
		if a.visit(ctx, true) || a.visitLast(ctx, true) {
			return
		}
	}
	// The failure itself has set wake: without taking that out, an owner whose calls
	// fail at once would be asked again without a pause.
	a.settleWake()
	if state, _ := a.hold.get(); state == holdFailed {
		a.wait(ctx, earlier(now.Add(a.s.options.RetryInterval), a.due))
	}
	if state, _ := a.hold.get(); state != holdFailed || ctx.Err() != nil || !time.Now().Before(a.due) {
		return
	}
	a.hold.request(ctx, a.hold.currentMode())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refusal counts a refusal and returns it as an error.
func (s *Service) refusal(r *Refusal) error {
	s.counts.refused(r.Err)
	return r
}
