package ledger

import (
	"fmt"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// promises watches from outside what was dispatched and what callers were told.
type promises struct {
	mu     sync.Mutex
	runs   map[domain.RequestKey][]*attemptRun
	denied map[domain.RequestKey]time.Time
	broken []string
	// trace is what happened, to be read when something was broken.
	start time.Time
	trace []string
}

// note adds to the trace.
func (p *promises) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace = append(p.trace, fmt.Sprintf("%v ", time.Since(p.start))+fmt.Sprintf(format, args...))
}

// attemptRun is one dispatch. It ends when its holder finishes or dies.
type attemptRun struct {
	at, end time.Time
	holder  domain.Member
}

func newPromises() *promises {
	return &promises{start: time.Now(), runs: make(map[domain.RequestKey][]*attemptRun), denied: make(map[domain.RequestKey]time.Time)}
}

// running reports whether the run counts: it goes on, or ended within the retention.
func (a *attemptRun) counts(now time.Time) bool {
	return a.end.IsZero() || now.Sub(a.end) < DefaultRetention
}

// dispatched notes a dispatch by a claim that was granted at a time.
func (p *promises) dispatched(k domain.RequestKey, holder domain.Member, granted time.Time) *attemptRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, a := range p.runs[k] {
		if a.counts(now) {
			p.broken = append(p.broken, fmt.Sprintf("%s dispatched by %s and again by %s", k, a.holder, holder))
		}
	}
	if told, ok := p.denied[k]; ok && granted.Before(told) {
		p.broken = append(p.broken, fmt.Sprintf("%s dispatched by %s after its caller was told that it was not run", k, holder))
	}
	a := &attemptRun{at: now, holder: holder}
	p.runs[k] = append(p.runs[k], a)
	return a
}

func (p *promises) ended(a *attemptRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.end.IsZero() {
		a.end = time.Now()
	}
}

// died ends the runs of a life.
func (p *promises) died(holder domain.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runs := range p.runs {
		for _, a := range runs {
			if a.holder == holder && a.end.IsZero() {
				a.end = time.Now()
			}
		}
	}
}

// toldNotRun notes that a caller was told that its request was not run, after the
// home was asked at a time. It must have been true at some time since: nothing had
// been dispatched by then, and no claim given before is dispatched later.
func (p *promises) toldNotRun(k domain.RequestKey, by domain.Member, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.runs[k] {
		if a.at.Before(asked) && a.counts(asked) {
			p.broken = append(p.broken, fmt.Sprintf("%s told not run by %s, but %s dispatched it", k, by, a.holder))
		}
	}
	if asked.After(p.denied[k]) {
		p.denied[k] = asked
	}
}

// violations returns what was broken.
func (p *promises) violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.broken...)
}
