package routing

import "time"

// Ejector takes an endpoint out of service after failures, for a time that doubles
// with each, and then lets single requests try it. The zero value is in service.
type Ejector struct {
	failures int
	// failedAt is when the last failure was counted, until when the time ends.
	failedAt time.Time
	until    time.Time
	// probing is true while a single request is out, since probeSince; probePrompt
	// is true if its first token can be seen.
	probing     bool
	probePrompt bool
	probeSince  time.Time
}

// Health returns the state at an instant.
func (e *Ejector) Health(now time.Time) Health {
	switch {
	case e.failures == 0:
		return HealthInService
	case now.Before(e.until):
		return HealthEjected
	default:
		return HealthProbation
	}
}

// Fail counts a failure of a request placed at an instant, and reports whether it
// is a new one: requests that were placed before the last failure tell of the same
// one, as does whatever happens until its time has ended.
func (e *Ejector) RecordFailure(now, placed time.Time, first, most time.Duration) bool {
	if e.failures > 0 && (now.Before(e.until) || !placed.After(e.failedAt)) {
		return false
	}
	e.failures++
	e.failedAt = now
	e.until = now.Add(backoff(first, most, e.failures))
	e.probing = false
	return true
}

// Shorten ends the time out of service at the instant, if it would end later.
func (e *Ejector) Shorten(until time.Time) {
	if until.Before(e.until) {
		e.until = until
	}
}

// Succeed puts the endpoint back into service.
func (e *Ejector) RecordSuccess() { *e = Ejector{} }

// Probe notes that a single request tries the endpoint. Prompt tells whether it has
// one, so that the owner will know of its first token.
func (e *Ejector) StartProbe(now time.Time, prompt bool) {
	e.probing = true
	e.probePrompt = prompt
	e.probeSince = now
}

// Unprobe notes that the request ended and told nothing.
func (e *Ejector) EndProbe() { e.probing = false }

// FirstTokenSeen tells that no prompt waits at the endpoint any more, which the
// probe's did.
func (e *Ejector) FirstTokenSeen(now time.Time) {
	if e.probing && e.probePrompt && now.After(e.probeSince) {
		e.RecordSuccess()
	}
}

// Probing reports whether a request is out that may still tell.
func (e *Ejector) ProbePending(now time.Time, timeout time.Duration) bool {
	return e.probing && now.Sub(e.probeSince) < timeout
}

// backoff returns first, doubled for each failure after the first, up to most.
func backoff(first, most time.Duration, failures int) time.Duration {
	d := first
	for i := 1; i < failures && d < most; i++ {
		d *= 2
	}
	return min(d, most)
}
