package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// fixture returns a run without violations: one request answered, one of a higher tier
// refused while the engine was idle, and one of the lowest tier answered.
func fixture() (*Record, *ServerRecord) {
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":9}`)
	expected, err := engine.ExpectedAnswer(body)
	if err != nil {
		panic(err)
	}
	request := func(key string, tier domain.Tier) *Request {
		return &Request{Key: key, Tier: tier, Body: body, AnswerTokens: 9, Timeout: time.Minute}
	}
	start := time.Now()
	answered := Attempt{Complete: true, Text: expected.Text(), Ended: 2 * time.Second}
	refused := Attempt{Outcome: domain.OutcomeNotRun, Code: "shed", Ended: 10 * time.Second}
	record := &Record{Start: start, Elapsed: time.Minute, InterTokenLatency: newHistogram(), Results: []Result{
		{Request: request("a", 1), Attempts: []Attempt{answered}},
		{Request: request("b", 0), Attempts: []Attempt{refused}},
		{Request: request("c", 2), Attempts: []Attempt{answered}},
	}}
	runs := []engine.Run{
		{Key: "o:p::a", Arrived: start.Add(time.Second), Ended: start.Add(2 * time.Second)},
		{Key: "o:p::c", Arrived: start.Add(time.Second), Ended: start.Add(2 * time.Second)},
	}
	return record, &ServerRecord{Engines: map[domain.EndpointID][]engine.Run{"e": runs}}
}

// Each kind of violation, injected into a correct run, is detected and is the only one
// reported.
func TestVerdict(t *testing.T) {
	cases := map[string]struct {
		inject func(r *Record, s *ServerRecord)
		want   Verdict
	}{
		"none": {func(*Record, *ServerRecord) {}, Verdict{}},
		"run twice": {func(_ *Record, s *ServerRecord) {
			s.Engines["f"] = s.Engines["e"][:1]
		}, Verdict{RunTwice: 1}},
		"wrong answer": {func(r *Record, _ *ServerRecord) {
			r.Results[0].Attempts[0].Text += "x"
		}, Verdict{WrongAnswer: 1}},
		"not_run after a run": {func(r *Record, s *ServerRecord) {
			s.Engines["f"] = []engine.Run{{Key: "o:p::b", Arrived: r.Start, Ended: r.Start.Add(time.Second)}}
		}, Verdict{RunThoughNotRun: 1}},
		"not_run, then run without another attempt": {func(r *Record, s *ServerRecord) {
			at := r.Start.Add(time.Minute)
			s.Engines["f"] = []engine.Run{{Key: "o:p::b", Arrived: at, Ended: at}}
		}, Verdict{RunThoughNotRun: 1}},
		"not_run, then run for another attempt": {func(r *Record, s *ServerRecord) {
			at := r.Start.Add(time.Minute)
			s.Engines["f"] = []engine.Run{{Key: "o:p::b", Arrived: at, Ended: at}}
			r.Results[1].Attempts = append(r.Results[1].Attempts, Attempt{Outcome: domain.OutcomeRan})
		}, Verdict{}},
		"answered without a run": {func(_ *Record, s *ServerRecord) {
			s.Engines["e"] = s.Engines["e"][1:]
		}, Verdict{AnsweredUnrun: 1}},
		"shed while a lower tier was served": {func(r *Record, s *ServerRecord) {
			s.Engines["e"][1].Ended = r.Start.Add(11 * time.Second)
		}, Verdict{ShedAbove: 1}},
		"refused for its deadline while a lower tier was served": {func(r *Record, s *ServerRecord) {
			s.Engines["e"][1].Ended = r.Start.Add(11 * time.Second)
			r.Results[1].Attempts[0].Code = "deadline"
		}, Verdict{LateAbove: 1}},
		"shed while a lower tier was ending": {func(r *Record, s *ServerRecord) {
			s.Engines["e"][1].Ended = r.Start.Add(10*time.Second + settlingTime/2)
		}, Verdict{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			record, server := fixture()
			c.inject(record, server)
			got := Verify(record, server)
			got.Examples = nil
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Late answers do not count as on time, and the best of several attempts counts.
func TestResultStatus(t *testing.T) {
	record, server := fixture()
	record.Results[0].Attempts[0].Ended = 2 * time.Minute
	record.Results[1].Attempts = append(record.Results[1].Attempts, Attempt{Complete: true, FirstTokenAt: time.Second, Ended: time.Second})
	total := NewReport(&Workload{}, "p", record, server, nil).Total
	assert.Equal(t, total.Offered, 3)
	assert.Equal(t, total.Late, 1)
	assert.Equal(t, total.OnTime, 2)
	assert.Equal(t, total.NotRun, 0)
	assert.Equal(t, total.Admitted, 2)
}
