package routing

import "time"

// Ejector takes an endpoint out of service after failures. The ejection time doubles with each
// consecutive failure; once it has elapsed, the endpoint is probed with one request at a time. The
// zero value is in service.
type Ejector struct {
	failures int
	// failedAt is the time of the last counted failure; until is the end of the ejection.
	failedAt time.Time
	until    time.Time
	// probing is true while a probe request is outstanding, since probeSince. probePrompt is true if
	// the probe has a prompt, so that its first token is observable.
	probing     bool
	probePrompt bool
	probeSince  time.Time
}

// Health returns the state at the given time.
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

// RecordFailure counts the failure of a request that was placed at the given time, and reports whether
// it is a new failure. Failures during an ejection, and those of requests placed before the last
// counted failure, are attributed to that failure.
func (e *Ejector) RecordFailure(now, placed time.Time, initial, limit time.Duration) bool {
	if e.failures > 0 && (now.Before(e.until) || !placed.After(e.failedAt)) {
		return false
	}
	e.failures++
	e.failedAt = now
	e.until = now.Add(backoff(initial, limit, e.failures))
	e.probing = false
	return true
}

// Shorten ends the ejection at the given time if it would otherwise end later.
func (e *Ejector) Shorten(until time.Time) {
	if until.Before(e.until) {
		e.until = until
	}
}

// RecordSuccess returns the endpoint to service.
func (e *Ejector) RecordSuccess() { *e = Ejector{} }

// StartProbe records that a probe request was placed. The owner observes the first token of a request
// only if it has a prompt.
func (e *Ejector) StartProbe(now time.Time, prompt bool) {
	e.probing = true
	e.probePrompt = prompt
	e.probeSince = now
}

// EndProbe records that the probe ended without a conclusive result.
func (e *Ejector) EndProbe() { e.probing = false }

// FirstTokenSeen records that no prompt is pending at the endpoint. A probe with a prompt has then
// produced its first token and counts as successful.
func (e *Ejector) FirstTokenSeen(now time.Time) {
	if e.probing && e.probePrompt && now.After(e.probeSince) {
		e.RecordSuccess()
	}
}

// ProbePending reports whether a probe is outstanding and has not timed out.
func (e *Ejector) ProbePending(now time.Time, timeout time.Duration) bool {
	return e.probing && now.Sub(e.probeSince) < timeout
}

// backoff returns initial doubled for each failure after the first, capped at limit.
func backoff(initial, limit time.Duration, failures int) time.Duration {
	d := initial
	for i := 1; i < failures && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}
