package load

import "time"

// Result is what became of a request.
type Result struct {
	Request  *Request
	Attempts []Attempt
}

// ResultStatus is how a request ended for its caller.
type ResultStatus string

// Fates. Of several attempts the best counts.
const (
	ResultOnTime ResultStatus = "on_time"
	// ResultLate answers were complete, but after the caller's patience.
	ResultLate    ResultStatus = "late"
	ResultNotRun  ResultStatus = "not_run"
	ResultUnknown ResultStatus = "unknown"
	ResultRan     ResultStatus = "ran"
	ResultHungUp  ResultStatus = "hung_up"
	// ResultBroken means an end without an answer and without an outcome.
	ResultBroken ResultStatus = "broken"
)

// order of fates, the best first.
var fates = []ResultStatus{ResultOnTime, ResultLate, ResultHungUp, ResultRan, ResultUnknown, ResultNotRun, ResultBroken}

// ResultStatus returns how the request ended.
func (r *Result) Status() ResultStatus {
	best := len(fates) - 1
	for i := range r.Attempts {
		fate := r.fateOf(&r.Attempts[i])
		for rank, f := range fates {
			if f == fate {
				best = min(best, rank)
			}
		}
	}
	return fates[best]
}

func (r *Result) fateOf(a *Attempt) ResultStatus {
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

// TimeToFirstToken returns the time from the request's instant to the first token, zero
// if there was none.
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

// Prompt reports whether the first token came within its aim.
func (r *Result) FirstTokenOnTime() bool {
	first := r.TimeToFirstToken()
	return r.Request.FirstTokenTarget == 0 || first > 0 && first <= r.Request.FirstTokenTarget
}
