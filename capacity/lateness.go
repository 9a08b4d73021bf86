package capacity

import "time"

// lateness is the target that a queued request is about to miss.
type lateness uint8

const (
	onTime lateness = iota
	// firstTokenAtRisk: the first token would be later than its target.
	firstTokenAtRisk
	// deadlineAtRisk: the answer might not be complete in time.
	deadlineAtRisk
	// deadlineMissed: the answer would not be complete in time.
	deadlineMissed
)

// searchRetryInterval is how long after a search in other data centres another one is
// made for the same request.
const searchRetryInterval = 500 * time.Millisecond

// marginDivisor limits the margin of a target or a deadline to that fraction of the
// time given for it.
const marginDivisor = 4

// lateness judges a queued request that has the given number of requests ahead of it.
func (o *owner) lateness(now time.Time, e *entry, ahead int) lateness {
	wait := e.pool.estimateWait(ahead)
	left := e.queued.Due.Sub(now)
	if o.discounted(wait)+o.discounted(e.forecast.Total) > left {
		return deadlineMissed
	}
	margin := o.margin(o.options.DeadlineMargin, e.request.Deadline)
	if wait+e.forecast.Total+margin > left {
		return deadlineAtRisk
	}
	if !e.hasFirstTokenTarget() {
		return onTime
	}
	margin = o.margin(o.options.FirstTokenMargin, e.request.FirstToken)
	if wait+e.forecast.FirstToken+margin > e.queued.FirstTokenDue.Sub(now) {
		return firstTokenAtRisk
	}
	return onTime
}

// margin returns how long before a point in time the owner must act for it: at most a
// fraction of the time given, but no less than a tick, so that the next tick is not too
// late.
func (o *owner) margin(most, given time.Duration) time.Duration {
	return max(min(most, given/marginDivisor), o.options.Tick)
}

// review acts on a queued request that would be late, in this order: it places it at an
// endpoint that the Chooser deferred, sends the client to other data centres, or
// revokes a grant of a lower tier. If none of these is possible, a request that can't
// meet its deadline is refused. One that only misses its first-token target stays
// queued, unless it comes from another data centre: its own may have a lower tier to
// revoke by now. The decision is returned, and also sent unless it is already the reply
// to the request.
func (o *owner) review(now time.Time, e *entry, ahead int) decision {
	if !e.queued.Due.After(now) {
		return o.refuse(now, e, reasonDeadline)
	}
	if o.isSearching(now, e) {
		return o.searchDecision(now, e)
	}
	late := o.lateness(now, e, ahead)
	queued := decision{ID: e.id, Kind: decisionQueued}
	if late == onTime || !o.settled {
		return queued
	}
	if o.placeUrgently(now, e) {
		return o.decisionOf(e)
	}
	if e.revocationPending(now, o.options.RevokeInterval) {
		return queued
	}
	if o.maySearch(now, e, late) {
		return o.startSearch(now, e, late)
	}
	if o.revokeFor(now, e) {
		return queued
	}
	if e.remote {
		return o.refuse(now, e, reasonShed)
	}
	if late == deadlineMissed {
		return o.refuse(now, e, reasonDeadline)
	}
	if late == firstTokenAtRisk {
		e.firstTokenMissed = true
	}
	return queued
}

// placeUrgently places a request that the Chooser would rather defer. It reports
// whether the request has left the queue.
func (o *owner) placeUrgently(now time.Time, e *entry) bool {
	if e.queued.Urgent || e.pool.available == 0 {
		return false
	}
	e.queued.Urgent = true
	o.schedule(now)
	return !e.item.Waiting()
}

// isSearching reports whether the client is still trying other data centres.
func (o *owner) isSearching(now time.Time, e *entry) bool {
	if e.searching && now.Sub(e.searchedAt) >= o.options.SearchTimeout {
		e.searching = false
	}
	return e.searching
}

// maySearch reports whether the client should try other data centres.
func (o *owner) maySearch(now time.Time, e *entry, late lateness) bool {
	if e.remote || !e.pool.servedElsewhere {
		return false
	}
	if e.searchedAt.IsZero() {
		return true
	}
	return late >= deadlineAtRisk && now.Sub(e.searchedAt) >= searchRetryInterval
}

// startSearch sends the client to the other data centres; the request stays queued
// here.
func (o *owner) startSearch(now time.Time, e *entry, late lateness) decision {
	e.searching = true
	e.searchedAt = now
	e.deadlineAtRisk = late >= deadlineAtRisk
	o.counts.Searched++
	r := o.searchDecision(now, e)
	if e != o.deciding {
		o.send(e.holder, e.pool, r)
	}
	return r
}

func (o *owner) searchDecision(now time.Time, e *entry) decision {
	return decision{
		ID:             e.id,
		Kind:           decisionSearch,
		CanRevoke:      o.planRevocation(now, e) != nil,
		DeadlineAtRisk: e.deadlineAtRisk,
	}
}
