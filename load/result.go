package load

import "time"

// Result is what became of a request.
type Result struct {
	Request  *Request
	Attempts []Attempt
}

// Fate is how a request ended for its caller.
type Fate string

// Fates. Of several attempts the best counts.
const (
	FateOnTime Fate = "on_time"
	// FateLate answers were complete, but after the caller's patience.
	FateLate    Fate = "late"
	FateNotRun  Fate = "not_run"
	FateUnknown Fate = "unknown"
	FateRan     Fate = "ran"
	FateHungUp  Fate = "hung_up"
	// FateBroken means an end without an answer and without an outcome.
	FateBroken Fate = "broken"
)

// order of fates, the best first.
var fates = []Fate{FateOnTime, FateLate, FateHungUp, FateRan, FateUnknown, FateNotRun, FateBroken}

// Fate returns how the request ended.
func (r *Result) Fate() Fate {
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

func (r *Result) fateOf(a *Attempt) Fate {
	switch {
	case a.Complete && a.Ended-r.Request.At <= r.Request.Patience:
		return FateOnTime
	case a.Complete:
		return FateLate
	case a.HungUp:
		return FateHungUp
	case a.Outcome != "":
		return Fate(a.Outcome)
	default:
		return FateBroken
	}
}

// FirstToken returns the time from the request's instant to the first token, zero
// if there was none.
func (r *Result) FirstToken() time.Duration {
	var best time.Duration
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if a.First == 0 {
			continue
		}
		if d := a.First - r.Request.At; best == 0 || d < best {
			best = d
		}
	}
	return best
}

// Prompt reports whether the first token came within its aim.
func (r *Result) Prompt() bool {
	first := r.FirstToken()
	return r.Request.FirstToken == 0 || first > 0 && first <= r.Request.FirstToken
}
