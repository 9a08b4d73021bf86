package ledger

import (
	"fmt"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// invariants checks dispatches and answers to callers from outside the ledger.
type invariants struct {
	mu               sync.Mutex
	runs             map[domain.RequestKey][]*execution
	reportedNotRunAt map[domain.RequestKey]time.Time
	failures         []string
	// events is the trace of a run, printed with a failure.
	start  time.Time
	events []string
}

// trace appends an event.
func (v *invariants) trace(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.events = append(v.events, fmt.Sprintf("%v ", time.Since(v.start))+fmt.Sprintf(format, args...))
}

// execution is one dispatch. It ends when its holder finishes or crashes.
type execution struct {
	at, end time.Time
	holder  domain.Member
}

func newInvariants() *invariants {
	return &invariants{start: time.Now(), runs: make(map[domain.RequestKey][]*execution), reportedNotRunAt: make(map[domain.RequestKey]time.Time)}
}

// inRetention reports whether the execution is running or ended within the retention
// period.
func (a *execution) inRetention(now time.Time) bool {
	return a.end.IsZero() || now.Sub(a.end) < DefaultRetention
}

// dispatched records a dispatch under a claim granted at the given time.
func (v *invariants) dispatched(k domain.RequestKey, holder domain.Member, granted time.Time) *execution {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, a := range v.runs[k] {
		if a.inRetention(now) {
			v.failures = append(v.failures, fmt.Sprintf("%s dispatched by %s and again by %s", k, a.holder, holder))
		}
	}
	if answered, ok := v.reportedNotRunAt[k]; ok && granted.Before(answered) {
		v.failures = append(v.failures, fmt.Sprintf("%s dispatched by %s after its caller was told that the request was not run", k, holder))
	}
	a := &execution{at: now, holder: holder}
	v.runs[k] = append(v.runs[k], a)
	return a
}

func (v *invariants) ended(a *execution) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a.end.IsZero() {
		a.end = time.Now()
	}
}

// crashed ends the executions of an incarnation.
func (v *invariants) crashed(holder domain.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, runs := range v.runs {
		for _, a := range runs {
			if a.holder == holder && a.end.IsZero() {
				a.end = time.Now()
			}
		}
	}
}

// reportedNotRun records that a caller was informed that its request was not run, after
// the home was called at the given time. The answer must have been true at some time
// since then: nothing had been dispatched, and no claim granted before is dispatched later.
func (v *invariants) reportedNotRun(k domain.RequestKey, by domain.Member, calledAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range v.runs[k] {
		if a.at.Before(calledAt) && a.inRetention(calledAt) {
			v.failures = append(v.failures, fmt.Sprintf("%s reported as not run by %s, but dispatched by %s", k, by, a.holder))
		}
	}
	if calledAt.After(v.reportedNotRunAt[k]) {
		v.reportedNotRunAt[k] = calledAt
	}
}

// violations returns the invariants that failed.
func (v *invariants) violations() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.failures...)
}
