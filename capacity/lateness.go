package capacity

import "time"

// lateness tells what a waiting ask is about to miss.
type lateness uint8

const (
	onTime lateness = iota
	// aimAtRisk: the first token would come after its aim.
	aimAtRisk
	// deadlineAtRisk: the answer might not be complete in time.
	deadlineAtRisk
	// deadlineMissed: it would not be.
	deadlineMissed
)

// seekAgain is how long after a search in other data centres another one is made
// for the same ask.
const seekAgain = 500 * time.Millisecond

// marginPart is the greatest part of an aim or a deadline that its margin takes.
const marginPart = 4

// lateness judges a waiting ask with so many others ahead of it.
func (o *owner) lateness(now time.Time, e *entry, ahead int) lateness {
	wait := e.pool.wait(ahead)
	left := e.waiting.Due.Sub(now)
	if o.certain(wait)+o.certain(e.forecast.Total) > left {
		return deadlineMissed
	}
	margin := o.margin(o.options.DeadlineMargin, e.ask.Deadline)
	if wait+e.forecast.Total+margin > left {
		return deadlineAtRisk
	}
	if !e.aims() {
		return onTime
	}
	margin = o.margin(o.options.FirstTokenMargin, e.ask.FirstToken)
	if wait+e.forecast.FirstToken+margin > e.waiting.FirstTokenDue.Sub(now) {
		return aimAtRisk
	}
	return onTime
}

// margin returns how long before an instant something must be done for it: no
// more than a part of the time there was, but long enough to catch the next tick.
func (o *owner) margin(most, given time.Duration) time.Duration {
	return max(min(most, given/marginPart), o.options.Tick)
}

// consider does what can be done for a waiting ask that would be late, in this
// order: a place that the Chooser held back; the other data centres; the grant of
// a lower tier. An ask that can't be on time then is refused; one that only misses
// its aim waits on, unless it comes from another data centre: its own may have a
// lower tier to revoke by now. The ruling is returned, and sent unless the ask is being
// answered.
func (o *owner) consider(now time.Time, e *entry, ahead int) ruling {
	if !e.waiting.Due.After(now) {
		return o.refuse(now, e, reasonDeadline)
	}
	if o.seekingStill(now, e) {
		return o.seekRuling(now, e)
	}
	late := o.lateness(now, e, ahead)
	queued := ruling{ID: e.id, Verdict: verdictQueued}
	if late == onTime || !o.settled {
		return queued
	}
	if o.press(now, e) {
		return o.rulingOf(e)
	}
	if e.covered(now, o.options.RevokeInterval) {
		return queued
	}
	if o.maySeek(now, e, late) {
		return o.seek(now, e, late)
	}
	if o.revokeFor(now, e) {
		return queued
	}
	if e.visiting {
		return o.refuse(now, e, reasonShed)
	}
	if late == deadlineMissed {
		return o.refuse(now, e, reasonDeadline)
	}
	if late == aimAtRisk {
		e.aimLost = true
	}
	return queued
}

// press places an ask that the Chooser would rather have wait. It reports whether
// the ask does not wait any more.
func (o *owner) press(now time.Time, e *entry) bool {
	if e.waiting.Urgent || e.pool.open == 0 {
		return false
	}
	e.waiting.Urgent = true
	o.place(now)
	return !e.item.Waiting()
}

// seekingStill reports whether the client is still asking other data centres.
func (o *owner) seekingStill(now time.Time, e *entry) bool {
	if e.seeking && now.Sub(e.soughtAt) >= o.options.SearchTimeout {
		e.seeking = false
	}
	return e.seeking
}

// maySeek reports whether other data centres are to be asked.
func (o *owner) maySeek(now time.Time, e *entry, late lateness) bool {
	if e.visiting || !e.pool.remote {
		return false
	}
	if e.soughtAt.IsZero() {
		return true
	}
	return late >= deadlineAtRisk && now.Sub(e.soughtAt) >= seekAgain
}

// seek sends the client to the other data centres; the ask keeps its place here.
func (o *owner) seek(now time.Time, e *entry, late lateness) ruling {
	e.seeking = true
	e.soughtAt = now
	e.soughtLate = late >= deadlineAtRisk
	o.counts.Sought++
	r := o.seekRuling(now, e)
	if e != o.answering {
		o.send(e.holder, e.pool, r)
	}
	return r
}

func (o *owner) seekRuling(now time.Time, e *entry) ruling {
	return ruling{
		ID:      e.id,
		Verdict: verdictSeek,
		Lower:   o.victims(now, e) != nil,
		Late:    e.soughtLate,
	}
}
