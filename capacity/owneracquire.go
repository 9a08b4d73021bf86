package capacity

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
)

// maxForecastSamples is about the number of endpoints asked for a forecast of a queued
// request.
const maxForecastSamples = 4

// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
// retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// acquire decides on a request. It is idempotent: a known request keeps its place in
// the queue.
func (o *owner) acquire(now time.Time, from domain.Member, p *pool, message *acquireMessage) decision {
	h := p.holder(from, now)
	if g, ok := h.grants[message.ID]; ok {
		return decision{ID: g.id, Kind: decisionGranted, Endpoint: g.endpoint.state.ID}
	}
	if e, ok := h.entries[message.ID]; ok {
		return o.reacquire(now, e, message.Mode)
	}
	if reason, retryAfter := o.admit(now, p, &message.Request); reason != 0 {
		o.counts.Refused++
		return decision{ID: message.ID, Kind: decisionRefused, Reason: reason, RetryAfter: retryAfter}
	}
	e := o.newEntry(now, h, p, message)
	return o.enqueue(now, e, message.Mode)
}

// admit returns why the pool does not accept the request, or 0, and when it may be
// retried.
func (o *owner) admit(now time.Time, p *pool, request *Request) (reason, time.Duration) {
	if err := o.chooser.Admit(now, request); err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return reasonQuarantined, refusal.RetryAfter
		}
		return reasonQuarantined, minRetryAfter
	}
	if p.inService == 0 {
		return reasonNoEndpoint, minRetryAfter
	}
	return 0, 0
}

func (o *owner) newEntry(now time.Time, h *holder, p *pool, message *acquireMessage) *entry {
	e := &entry{
		id:      message.ID,
		holder:  h,
		pool:    p,
		request: message.Request,
		remote:  message.Mode != modeUnservedLocally && h.member.DataCentre != o.dc,
	}
	e.queued = QueuedRequest{Request: &e.request, Arrived: now, Due: now.Add(e.request.Deadline)}
	if e.request.FirstToken != 0 {
		e.queued.FirstTokenDue = now.Add(e.request.FirstToken)
	}
	if message.Mode == modeFinal {
		e.searchedAt = now
	}
	e.item = queue.Item[*entry]{
		Value:        e,
		Tier:         e.request.Tier,
		Organisation: e.request.Organisation,
		Weight:       o.weight(e.request.Organisation),
		Cost:         int64(e.tokens()),
		Due:          e.queued.Due,
	}
	return e
}

// enqueue adds a new request to the queue, runs the scheduler and returns the decision
// on the request.
func (o *owner) enqueue(now time.Time, e *entry, m mode) decision {
	o.deciding = e
	defer func() { o.deciding = nil }()
	e.holder.addEntry(e)
	e.pool.waiting++
	evicted := o.queue.Push(&e.item)
	o.schedule(now)
	if evicted != nil {
		o.handleEviction(now, evicted.Value)
	}
	if e.holder.entries[e.id] != e {
		return o.decisionOf(e)
	}
	e.forecast = o.forecast(now, e)
	o.counts.Queued++
	ahead := o.queue.Ahead(&e.item)
	if m == modeRemote && o.lateness(now, e, ahead) != onTime {
		return o.refuse(now, e, reasonShed)
	}
	return o.review(now, e, ahead)
}

// reacquire decides on a request that is already queued.
func (o *owner) reacquire(now time.Time, e *entry, m mode) decision {
	o.deciding = e
	defer func() { o.deciding = nil }()
	if m == modeFinal {
		e.searching = false
		e.searchedAt = now
	}
	return o.review(now, e, o.queue.Ahead(&e.item))
}

// decisionOf returns the decision on a request that was granted or refused while it was
// being enqueued or reviewed.
func (o *owner) decisionOf(e *entry) decision {
	if g, ok := e.holder.grants[e.id]; ok {
		return decision{ID: e.id, Kind: decisionGranted, Endpoint: g.endpoint.state.ID}
	}
	return decision{ID: e.id, Kind: decisionRefused, Reason: e.refusal, RetryAfter: o.retryAfter(e.pool)}
}

// forecast returns the least time that the sampled endpoints would need.
func (o *owner) forecast(now time.Time, e *entry) Forecast {
	var best Forecast
	step := max(len(e.pool.endpoints)/maxForecastSamples, 1)
	for i := 0; i < len(e.pool.endpoints); i += step {
		p := e.pool.endpoints[i]
		if !p.inService {
			continue
		}
		f := o.chooser.Forecast(now, &p.state, &e.request)
		if best == (Forecast{}) || f.Total < best.Total {
			best = f
		}
	}
	return best
}

// handleEviction handles a request evicted from the queue: if a grant of a lower tier
// can be revoked for it, it is queued again, else it is shed.
func (o *owner) handleEviction(now time.Time, e *entry) {
	if o.revokeFor(now, e) {
		o.queue.Push(&e.item)
		return
	}
	o.refuse(now, e, reasonShed)
}

// refuse ends a queued request. The decision is returned, and also sent unless it is
// already the reply to the request.
func (o *owner) refuse(now time.Time, e *entry, why reason) decision {
	e.refusal = why
	o.removeEntry(e)
	o.countRefusal(why)
	r := decision{ID: e.id, Kind: decisionRefused, Reason: why, RetryAfter: o.retryAfter(e.pool)}
	if e != o.deciding {
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

// removeEntry takes a request out of the queue and its holder's records.
func (o *owner) removeEntry(e *entry) {
	o.queue.Remove(&e.item)
	e.holder.removeEntry(e)
	e.pool.waiting--
	if e.victim != nil {
		e.victim.beneficiary = nil
		e.victim = nil
	}
}

func (o *owner) retryAfter(p *pool) time.Duration {
	return min(max(p.estimateWait(p.waiting), minRetryAfter), maxRetryAfter)
}

func sortEndpoints(endpoints []*ownedEndpoint) {
	slices.SortFunc(endpoints, func(a, b *ownedEndpoint) int { return cmp.Compare(a.state.ID, b.state.ID) })
}
