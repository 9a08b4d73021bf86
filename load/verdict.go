package load

import (
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// Verdict counts breaches of the promises, as the endpoints' logs show them.
type Verdict struct {
	// RunTwice counts keys that were run more than once.
	RunTwice int `json:"run_twice"`
	// WrongAnswer counts complete answers that are not the expected one.
	WrongAnswer int `json:"wrong_answer"`
	// RunThoughNotRun counts requests that ran before a caller was told not_run.
	RunThoughNotRun int `json:"run_though_not_run"`
	// AnsweredUnrun counts complete answers to requests that no endpoint ran.
	AnsweredUnrun int `json:"answered_unrun"`
	// ShedAbove counts requests shed while a lower tier was served: taken by an
	// engine settling time before and still there settling time after.
	ShedAbove int `json:"shed_above"`
	// LateAbove counts requests that were refused for their deadline at such an
	// instant. They are no breach if no revocation could have saved them, which the
	// logs can't tell; so they stand apart.
	LateAbove int `json:"late_above"`
	// Examples name a few of the breaches.
	Examples []string `json:"examples,omitempty"`
}

// settling is the time that a refusal and a cancellation may take on their way.
const settling = 250 * time.Millisecond

// mostExamples bounds Verdict.Examples.
const mostExamples = 5

// Broken counts all breaches.
func (v *Verdict) Violations() int {
	return v.RunTwice + v.WrongAnswer + v.RunThoughNotRun + v.AnsweredUnrun + v.ShedAbove
}

// Verify holds a run against the endpoints' logs.
func Verify(record *Record, w *ServerRecord) Verdict {
	j := judge{record: record, runs: w.runsOf(), byKey: make(map[string]*Result)}
	for i := range record.Results {
		r := &record.Results[i]
		j.byKey[r.Request.Key] = r
	}
	j.servedByTier(w)
	for key, sum := range j.runs {
		if sum.runs > 1 {
			j.breach(&j.verdict.RunTwice, "%s was run %d times", key, sum.runs)
		}
	}
	for i := range record.Results {
		j.result(&record.Results[i])
	}
	return j.verdict
}

type judge struct {
	record  *Record
	runs    map[string]runSum
	byKey   map[string]*Result
	served  map[domain.Tier][]span
	verdict Verdict
}

// span is the time in which an engine had a request.
type span struct {
	from, to time.Time
	key      string
}

func (j *judge) breach(count *int, format string, args ...any) {
	*count++
	if len(j.verdict.Examples) < mostExamples {
		j.verdict.Examples = append(j.verdict.Examples, fmt.Sprintf(format, args...))
	}
}

func (j *judge) servedByTier(w *ServerRecord) {
	j.served = make(map[domain.Tier][]span)
	for _, runs := range w.Engines {
		for i := range runs {
			run := &runs[i]
			r := j.byKey[callerKey(run.Key)]
			if r == nil {
				continue
			}
			end := run.Ended
			if end.IsZero() {
				end = j.record.Start.Add(j.record.Elapsed)
			}
			tier := r.Request.Tier
			j.served[tier] = append(j.served[tier], span{run.Arrived, end, r.Request.Key})
		}
	}
}

func (j *judge) result(r *Result) {
	for i := range r.Attempts {
		a := &r.Attempts[i]
		switch {
		case a.Complete:
			j.answer(r, a)
		case a.Outcome == domain.OutcomeNotRun:
			j.notRun(r, a)
		}
	}
}

func (j *judge) answer(r *Result, a *Attempt) {
	if j.runs[r.Request.Key].runs == 0 {
		j.breach(&j.verdict.AnsweredUnrun, "%s was answered but not run", r.Request.Key)
	}
	if !r.Request.IsModelRequest() {
		return
	}
	expected, err := engine.ExpectedAnswer(r.Request.Body)
	if err != nil || expected.Text() != a.Text {
		j.breach(&j.verdict.WrongAnswer, "%s got another answer", r.Request.Key)
	}
}

// notRun checks a refusal: the request must not have run before it; and if there
// was no other attempt, not after it either.
func (j *judge) notRun(r *Result, a *Attempt) {
	told := j.record.Start.Add(a.Ended)
	sum := j.runs[r.Request.Key]
	if sum.runs > 0 && (len(r.Attempts) == 1 || sum.first.Before(told)) {
		j.breach(&j.verdict.RunThoughNotRun, "%s was told not_run (%s) and ran", r.Request.Key, a.Code)
	}
	if !r.Request.IsModelRequest() {
		return
	}
	switch answer.Code(a.Code) {
	case answer.CodeShed:
		if lower := j.lowerServed(r.Request.Tier, told); lower != "" {
			j.breach(&j.verdict.ShedAbove, "%s was shed while %s was served", r.Request.Key, lower)
		}
	case answer.CodeDeadline:
		if j.lowerServed(r.Request.Tier, told) != "" {
			j.verdict.LateAbove++
		}
	}
}

// lowerServed returns a request of a lower tier that was being served at the
// instant, with settling time before and after.
func (j *judge) lowerServed(tier domain.Tier, at time.Time) string {
	for lower, spans := range j.served {
		if !tier.Above(lower) {
			continue
		}
		for _, s := range spans {
			if s.from.Before(at.Add(-settling)) && s.to.After(at.Add(settling)) {
				return s.key
			}
		}
	}
	return ""
}
