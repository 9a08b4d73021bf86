package capacity

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
)

// forecastSample is the most endpoints asked for a forecast of a waiting ask.
const forecastSample = 4

// retryMin and retryMax bound the time after which a refused caller may return.
const (
	retryMin = time.Second
	retryMax = time.Minute
)

// ask rules on an ask. It may be repeated: an ask that is known keeps its place.
func (o *owner) ask(now time.Time, from domain.Member, p *pool, request *askRequest) ruling {
	h := p.holder(from, now)
	if g, ok := h.grants[request.ID]; ok {
		return ruling{ID: g.id, Verdict: verdictGranted, Endpoint: g.place.state.ID}
	}
	if e, ok := h.entries[request.ID]; ok {
		return o.askAgain(now, e, request.Mode)
	}
	if reason, retryAfter := o.admit(now, p, &request.Ask); reason != 0 {
		o.counts.Refused++
		return ruling{ID: request.ID, Verdict: verdictRefused, Reason: reason, RetryAfter: retryAfter}
	}
	e := o.newEntry(now, h, p, request)
	return o.answer(now, e, request.Mode)
}

// admit returns why the pool does not take the ask, or 0, and when to come back.
func (o *owner) admit(now time.Time, p *pool, ask *Request) (reason, time.Duration) {
	if err := o.chooser.Admit(now, ask); err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return reasonQuarantined, refusal.RetryAfter
		}
		return reasonQuarantined, retryMin
	}
	if p.inService == 0 {
		return reasonNoEndpoint, retryMin
	}
	return 0, 0
}

func (o *owner) newEntry(now time.Time, h *holder, p *pool, request *askRequest) *entry {
	e := &entry{
		id:       request.ID,
		holder:   h,
		pool:     p,
		ask:      request.Ask,
		visiting: request.Mode != modeHomeless && h.member.DataCentre != o.dc,
	}
	e.waiting = QueuedRequest{Request: &e.ask, Arrived: now, Due: now.Add(e.ask.Deadline)}
	if e.ask.FirstToken != 0 {
		e.waiting.FirstTokenDue = now.Add(e.ask.FirstToken)
	}
	if request.Mode == modeLast {
		e.soughtAt = now
	}
	e.item = queue.Item[*entry]{
		Value:        e,
		Tier:         e.ask.Tier,
		Organisation: e.ask.Organisation,
		Weight:       o.weight(e.ask.Organisation),
		Cost:         int64(e.tokens()),
		Due:          e.waiting.Due,
	}
	return e
}

// answer puts a new ask into the queue, serves the queue and rules on the ask.
func (o *owner) answer(now time.Time, e *entry, m mode) ruling {
	o.answering = e
	defer func() { o.answering = nil }()
	e.holder.addEntry(e)
	e.pool.waiting++
	evicted := o.queue.Push(&e.item)
	o.place(now)
	if evicted != nil {
		o.evicted(now, evicted.Value)
	}
	if e.holder.entries[e.id] != e {
		return o.rulingOf(e)
	}
	e.forecast = o.forecast(now, e)
	o.counts.Queued++
	ahead := o.queue.Ahead(&e.item)
	if m == modeVisit && o.lateness(now, e, ahead) != onTime {
		return o.refuse(now, e, reasonShed)
	}
	return o.consider(now, e, ahead)
}

// askAgain rules on an ask that waits already.
func (o *owner) askAgain(now time.Time, e *entry, m mode) ruling {
	o.answering = e
	defer func() { o.answering = nil }()
	if m == modeLast {
		e.seeking = false
		e.soughtAt = now
	}
	return o.consider(now, e, o.queue.Ahead(&e.item))
}

// rulingOf returns the ruling on an ask that was granted or refused while it was
// answered.
func (o *owner) rulingOf(e *entry) ruling {
	if g, ok := e.holder.grants[e.id]; ok {
		return ruling{ID: e.id, Verdict: verdictGranted, Endpoint: g.place.state.ID}
	}
	return ruling{ID: e.id, Verdict: verdictRefused, Reason: e.refused, RetryAfter: o.retryAfter(e.pool)}
}

// forecast returns the least time that the endpoints looked at would need.
func (o *owner) forecast(now time.Time, e *entry) Forecast {
	var best Forecast
	step := max(len(e.pool.places)/forecastSample, 1)
	for i := 0; i < len(e.pool.places); i += step {
		p := e.pool.places[i]
		if !p.serving {
			continue
		}
		f := o.chooser.Forecast(now, &p.state, &e.ask)
		if best == (Forecast{}) || f.Total < best.Total {
			best = f
		}
	}
	return best
}

// evicted deals with an ask that the queue pushed out: a grant of a lower tier is
// revoked and the ask goes back, else it is shed.
func (o *owner) evicted(now time.Time, e *entry) {
	if o.revokeFor(now, e) {
		o.queue.Push(&e.item)
		return
	}
	o.refuse(now, e, reasonShed)
}

// refuse ends a waiting ask. The ruling is returned, and sent unless the ask is
// being answered.
func (o *owner) refuse(now time.Time, e *entry, why reason) ruling {
	e.refused = why
	o.dropEntry(e)
	o.countRefusal(why)
	r := ruling{ID: e.id, Verdict: verdictRefused, Reason: why, RetryAfter: o.retryAfter(e.pool)}
	if e != o.answering {
		o.send(e.holder, e.pool, r)
	}
	return r
}

func (o *owner) countRefusal(why reason) {
	switch why {
	case reasonShed:
		o.counts.Shed++
	case reasonDeadline:
		o.counts.Deadline++
	default:
		o.counts.Refused++
	}
}

// dropEntry takes an ask out of the queue and its holder's account.
func (o *owner) dropEntry(e *entry) {
	o.queue.Remove(&e.item)
	e.holder.removeEntry(e)
	e.pool.waiting--
	if e.victim != nil {
		e.victim.beneficiary = nil
		e.victim = nil
	}
}

func (o *owner) retryAfter(p *pool) time.Duration {
	return min(max(p.wait(p.waiting), retryMin), retryMax)
}

func sortPlaces(places []*place) {
	slices.SortFunc(places, func(a, b *place) int { return cmp.Compare(a.state.ID, b.state.ID) })
}
