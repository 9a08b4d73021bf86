package load

import "time"

// Result holds the attempts of a request.
type Result struct {
	Request  *Request
	Attempts []Attempt
}

// ResultStatus is the final status of a request as seen by its caller.
type ResultStatus string

// Result statuses. If a request has several attempts, the best status counts.
const (
	ResultOnTime ResultStatus = "on_time"
	// ResultLate means that the answer was complete but came after the caller's timeout.
	ResultLate    ResultStatus = "late"
	ResultNotRun  ResultStatus = "not_run"
	ResultUnknown ResultStatus = "unknown"
	ResultRan     ResultStatus = "ran"
	ResultHungUp  ResultStatus = "hung_up"
	// ResultBroken means that the request ended without a complete answer or an outcome.
	ResultBroken ResultStatus = "broken"
)

// statusesBestFirst ranks the statuses.
var statusesBestFirst = []ResultStatus{ResultOnTime, ResultLate, ResultHungUp, ResultRan, ResultUnknown, ResultNotRun, ResultBroken}

// Status returns the best status of all attempts.
func (r *Result) Status() ResultStatus {
	best := len(statusesBestFirst) - 1
	for i := range r.Attempts {
		status := r.attemptStatus(&r.Attempts[i])
		for rank, s := range statusesBestFirst {
			if s == status {
				best = min(best, rank)
			}
		}
	}
	return statusesBestFirst[best]
}

func (r *Result) attemptStatus(a *Attempt) ResultStatus {
	switch {
	case a.Complete && a.Ended-r.Request.At <= r.Request.Timeout:
		return ResultOnTime
	case a.Complete:
		return ResultLate
	case a.HungUp:
		return ResultHungUp
	case a.Outcome != "":
		return ResultStatus(a.Outcome)
	default:
		return ResultBroken
	}
}

// TimeToFirstToken returns the time from Request.At to the earliest first token of all
// attempts, or zero if no token was received.
func (r *Result) TimeToFirstToken() time.Duration {
	var best time.Duration
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if a.FirstTokenAt == 0 {
			continue
		}
		if d := a.FirstTokenAt - r.Request.At; best == 0 || d < best {
			best = d
		}
	}
	return best
}

// FirstTokenOnTime reports whether the time to first token met the target, if there is
// one.
func (r *Result) FirstTokenOnTime() bool {
	first := r.TimeToFirstToken()
	return r.Request.FirstTokenTarget == 0 || first > 0 && first <= r.Request.FirstTokenTarget
}
