package load

import (
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// Verdict counts violations of the service guarantees, as shown by the endpoints' logs.
type Verdict struct {
	// RunTwice counts idempotency keys that were run more than once.
	RunTwice int `json:"run_twice"`
	// WrongAnswer counts complete answers that differ from the expected one.
	WrongAnswer int `json:"wrong_answer"`
	// RunThoughNotRun counts requests that were run although an attempt was answered with
	// not_run: before that answer, or at any time if there was no other attempt.
	RunThoughNotRun int `json:"run_though_not_run"`
	// AnsweredUnrun counts complete answers to requests that no endpoint ran.
	AnsweredUnrun int `json:"answered_unrun"`
	// ShedAbove counts requests that were shed while a request of a lower tier was being
	// served, that is, was on an engine from settlingTime before to settlingTime after.
	ShedAbove int `json:"shed_above"`
	// LateAbove counts requests that were refused because of their deadline in the same
	// situation. This is no violation if preempting the lower tier would not have helped,
	// which the logs do not show, so these are counted separately.
	LateAbove int `json:"late_above"`
	// Examples describes the first few violations.
	Examples []string `json:"examples,omitempty"`
}

// settlingTime allows for the time that refusals and cancellations take to propagate.
const settlingTime = 250 * time.Millisecond

// maxExamples limits the length of Verdict.Examples.
const maxExamples = 5

// Violations returns the total number of violations, which excludes LateAbove.
func (v *Verdict) Violations() int {
	return v.RunTwice + v.WrongAnswer + v.RunThoughNotRun + v.AnsweredUnrun + v.ShedAbove
}

// Verify checks the record of a run against the endpoints' logs.
func Verify(record *Record, server *ServerRecord) Verdict {
	v := verifier{record: record, runs: server.runsByKey(), byKey: make(map[string]*Result)}
	for i := range record.Results {
		r := &record.Results[i]
		v.byKey[r.Request.Key] = r
	}
	v.collectServed(server)
	for key, count := range v.runs {
		if count.runs > 1 {
			v.addViolation(&v.verdict.RunTwice, "%s was run %d times", key, count.runs)
		}
	}
	for i := range record.Results {
		v.checkResult(&record.Results[i])
	}
	return v.verdict
}

type verifier struct {
	record  *Record
	runs    map[string]runCount
	byKey   map[string]*Result
	served  map[domain.Tier][]servedInterval
	verdict Verdict
}

// servedInterval is the time during which a request was on an engine.
type servedInterval struct {
	from, to time.Time
	key      string
}

func (v *verifier) addViolation(count *int, format string, args ...any) {
	*count++
	if len(v.verdict.Examples) < maxExamples {
		v.verdict.Examples = append(v.verdict.Examples, fmt.Sprintf(format, args...))
	}
}

func (v *verifier) collectServed(server *ServerRecord) {
	v.served = make(map[domain.Tier][]servedInterval)
	for _, runs := range server.Engines {
		for i := range runs {
			run := &runs[i]
			r := v.byKey[idempotencyKey(run.Key)]
			if r == nil {
				continue
			}
			end := run.Ended
			if end.IsZero() {
				end = v.record.Start.Add(v.record.Elapsed)
			}
			tier := r.Request.Tier
			v.served[tier] = append(v.served[tier], servedInterval{run.Arrived, end, r.Request.Key})
		}
	}
}

func (v *verifier) checkResult(r *Result) {
	for i := range r.Attempts {
		a := &r.Attempts[i]
		switch {
		case a.Complete:
			v.checkAnswer(r, a)
		case a.Outcome == domain.OutcomeNotRun:
			v.checkNotRun(r, a)
		}
	}
}

func (v *verifier) checkAnswer(r *Result, a *Attempt) {
	if v.runs[r.Request.Key].runs == 0 {
		v.addViolation(&v.verdict.AnsweredUnrun, "%s was answered but not run", r.Request.Key)
	}
	if !r.Request.IsModelRequest() {
		return
	}
	expected, err := engine.ExpectedAnswer(r.Request.Body)
	if err != nil || expected.Text() != a.Text {
		v.addViolation(&v.verdict.WrongAnswer, "%s got an unexpected answer", r.Request.Key)
	}
}

// checkNotRun checks a not_run answer: the request must not have been run before it, nor
// after it if there was no other attempt.
func (v *verifier) checkNotRun(r *Result, a *Attempt) {
	refusedAt := v.record.Start.Add(a.Ended)
	count := v.runs[r.Request.Key]
	if count.runs > 0 && (len(r.Attempts) == 1 || count.first.Before(refusedAt)) {
		v.addViolation(&v.verdict.RunThoughNotRun, "%s was told not_run (%s) and ran", r.Request.Key, a.Code)
	}
	if !r.Request.IsModelRequest() {
		return
	}
	switch answer.Code(a.Code) {
	case answer.CodeShed:
		if lower := v.lowerTierServed(r.Request.Tier, refusedAt); lower != "" {
			v.addViolation(&v.verdict.ShedAbove, "%s was shed while %s was served", r.Request.Key, lower)
		}
	case answer.CodeDeadline:
		if v.lowerTierServed(r.Request.Tier, refusedAt) != "" {
			v.verdict.LateAbove++
		}
	}
}

// lowerTierServed returns the key of a request of a lower tier that was being served
// from settlingTime before to settlingTime after the given time, or "" if there is none.
func (v *verifier) lowerTierServed(tier domain.Tier, at time.Time) string {
	for lower, intervals := range v.served {
		if !tier.Above(lower) {
			continue
		}
		for _, s := range intervals {
			if s.from.Before(at.Add(-settlingTime)) && s.to.After(at.Add(settlingTime)) {
				return s.key
			}
		}
	}
	return ""
}
