package routing

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

var t0 = time.Unix(1000, 0)

// testSpeed has a time to first token of 0.1 s plus 1 ms per prompt token, and a token interval of 10
// ms for one request plus 1 ms for each further one.
var testSpeed = Speed{FirstToken: LinearModel{0.1, 1e-3}, Interval: LinearModel{0.009, 1e-3}}

// candidate returns an idle, healthy endpoint.
func candidate(id domain.EndpointID, change ...func(c *Candidate)) Candidate {
	c := Candidate{
		State:   &capacity.EndpointState{ID: id, Row: &config.EndpointRow{ID: id}},
		Learned: NewEndpoint(t0, &config.EndpointRow{ID: id}, NewGeneration(testSpeed), 100),
	}
	c.Learned.progress.lastAt = t0
	for _, f := range change {
		f(&c)
	}
	return c
}

func pipelineRequest(change ...func(r *Request)) *Request {
	r := &Request{Now: t0, Request: &capacity.Request{PromptTokens: 640, AnswerTokens: 100, Blocks: []uint64{1, 2, 3, 4, 5}}}
	for _, f := range change {
		f(r)
	}
	return r
}

// straggling makes the endpoint a straggler with the given ratio.
func straggling(ratio float64) func(c *Candidate) {
	return func(c *Candidate) {
		c.Learned.straggler = StragglerDetector{ratio: ratio, samples: minStragglerSamples, lastActivity: t0}
	}
}

func failed(times int, ago time.Duration) func(c *Candidate) {
	return func(c *Candidate) {
		for range times {
			at := t0.Add(-ago)
			c.Learned.ejector.until = time.Time{}
			c.Learned.ejector.RecordFailure(at, at, time.Second, time.Minute)
			ago--
		}
	}
}

func TestFilters(t *testing.T) {
	suspect := func(r *Request) { r.Suspect = true }
	unchanged := func(*Request) {}
	ejected := EjectedFilter{ProbeTimeout: 30 * time.Second}
	saturation := SaturationFilter{SaturationDetector{TokenInterval: 0.015}}
	probe := func(c *Candidate) { c.Learned.ejector.StartProbe(t0.Add(-time.Second), true) }
	for name, tt := range map[string]struct {
		filter  Filter
		request func(*Request)
		change  func(c *Candidate)
		keep    bool
	}{
		"in service":                 {LeavingFilter{}, unchanged, func(*Candidate) {}, true},
		"leaving":                    {LeavingFilter{}, unchanged, func(c *Candidate) { c.State.Leaving = true }, false},
		"drained":                    {LeavingFilter{}, unchanged, func(c *Candidate) { c.State.Row = &config.EndpointRow{Drain: true} }, false},
		"healthy":                    {ejected, unchanged, func(*Candidate) {}, true},
		"recent failure":             {ejected, unchanged, failed(1, 900*time.Millisecond), false},
		"elapsed ejection":           {ejected, unchanged, failed(1, 2*time.Second), true},
		"repeated failures":          {ejected, unchanged, failed(4, 2*time.Second), false},
		"probe outstanding":          {ejected, unchanged, func(c *Candidate) { failed(1, 2*time.Second)(c); probe(c) }, false},
		"not a suspect":              {SuspectFilter{}, unchanged, func(c *Candidate) { c.Learned.suspectGrants = 1 }, true},
		"suspect, no other":          {SuspectFilter{}, suspect, func(*Candidate) {}, true},
		"suspect, another present":   {SuspectFilter{}, suspect, func(c *Candidate) { c.Learned.suspectGrants = 1 }, false},
		"shallow batch":              {saturation, unchanged, func(c *Candidate) { c.State.Requests = 10 }, true},
		"deep batch":                 {saturation, unchanged, func(c *Candidate) { c.State.Requests = 11 }, false},
		"slow hardware, small batch": {SaturationFilter{SaturationDetector{TokenInterval: 0.001}}, unchanged, func(c *Candidate) { c.State.Requests = 10 }, true},
		"saturation disabled":        {SaturationFilter{SaturationDetector{TokenInterval: -1}}, unchanged, func(c *Candidate) { c.State.Requests = 99 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := candidate("e", tt.change)
			assert.Equal(t, tt.filter.Keep(pipelineRequest(tt.request), &c), tt.keep)
		})
	}
}

func TestScorers(t *testing.T) {
	unchanged := func(*Request) {}
	none := func(*Candidate) {}
	straggler := StragglerScorer{Ratio: 1.8, ProbeInterval: 5 * time.Second}
	estimated := func(c *Candidate) { c.Estimate.Work, c.Estimate.Batch, c.Estimate.Cost = 100, 1, 1.2 }
	later := func(r *Request) { r.Now = t0.Add(6 * time.Second) }
	cached := func(c *Candidate) float64 { return c.Estimate.CachedTokens }
	work := func(c *Candidate) float64 { return c.Estimate.Work }
	batch := func(c *Candidate) float64 { return c.Estimate.Batch }
	cost := func(c *Candidate) float64 { return c.Estimate.Cost }
	session := func(r *Request) {
		r.Session = SessionLocation{Endpoint: "e", Tokens: 500, PlacedAt: t0.Add(-time.Minute)}
	}
	lowTrust := func(c *Candidate) {
		c.Learned.prefixes.Dispatched(t0, []uint64{1, 2, 3})
		c.Learned.cacheTrust.distrust = 0.5
	}
	report := func(requests int, ago time.Duration) func(*Candidate) {
		return func(c *Candidate) {
			c.State.Requests, c.Estimate.Batch = 2, 3
			c.Learned.report = loadReport{Requests: requests, At: t0.Add(-ago)}
		}
	}
	stalled := func(c *Candidate) { c.State.PrefillTokens, c.Estimate.Work = 700, 700 }
	for name, tt := range map[string]struct {
		scorer  Scorer
		request func(*Request)
		change  func(c *Candidate)
		read    func(c *Candidate) float64
		want    float64
	}{
		"nothing cached":         {PrefixScorer{}, unchanged, none, cached, 0},
		"prefix cached":          {PrefixScorer{}, unchanged, func(c *Candidate) { c.Learned.prefixes.Dispatched(t0, []uint64{1, 2, 3, 9}) }, cached, 192},
		"different prefix":       {PrefixScorer{}, unchanged, func(c *Candidate) { c.Learned.prefixes.Dispatched(t0, []uint64{7, 2, 3}) }, cached, 0},
		"prefix with low trust":  {PrefixScorer{}, unchanged, lowTrust, cached, 96},
		"session on endpoint":    {SessionScorer{TTL: time.Hour}, session, none, cached, 500},
		"session elsewhere":      {SessionScorer{TTL: time.Hour}, session, func(c *Candidate) { c.State.ID = "f" }, cached, 0},
		"session expired":        {SessionScorer{TTL: time.Second}, session, none, cached, 0},
		"idle":                   {OutstandingScorer{}, unchanged, none, work, 640},
		"cached tokens deducted": {OutstandingScorer{}, unchanged, func(c *Candidate) { c.Estimate.CachedTokens = 600 }, work, 40},
		"prompts queued ahead":   {OutstandingScorer{RequestOverheadTokens: 16}, unchanged, func(c *Candidate) { c.State.PrefillTokens, c.State.Requests = 1000, 2 }, work, 1672},
		"queued prompts half cached": {OutstandingScorer{}, unchanged, func(c *Candidate) {
			c.State.PrefillTokens = 1000
			c.Learned.addGrant(trackedGrant{prompt: 8, cached: 4}, 1)
		}, work, 1140},
		"long-running batch":         {OutstandingScorer{}, unchanged, func(c *Candidate) { c.State.Requests, c.State.AnswerTokens = 4, 4000 }, batch, 5},
		"batch about to end":         {OutstandingScorer{}, unchanged, func(c *Candidate) { c.State.Requests, c.State.AnswerTokens = 4, 40 }, batch, 1.4},
		"higher report":              {ReportScorer{MaxAge: time.Second, Weight: 0.25}, unchanged, report(4, 0), batch, 3.5},
		"much higher report":         {ReportScorer{MaxAge: time.Second, Weight: 0.25}, unchanged, report(99, 0), batch, 3.75},
		"lower report":               {ReportScorer{MaxAge: time.Second, Weight: 0.25}, unchanged, report(0, 0), batch, 3},
		"expired report":             {ReportScorer{MaxAge: time.Second, Weight: 0.25}, unchanged, report(4, 2*time.Second), batch, 3},
		"completion":                 {SpeedScorer{}, unchanged, estimated, cost, 0.1 + 0.1 + 100*0.010},
		"weighted prefill":           {SpeedScorer{PrefillWeight: 2}, unchanged, func(c *Candidate) { estimated(c); c.Estimate.OwnWork = 50 }, cost, 1.2 + 2*0.05},
		"not a straggler":            {straggler, unchanged, func(c *Candidate) { estimated(c); straggling(1.7)(c) }, cost, 1.2},
		"straggler":                  {straggler, unchanged, func(c *Candidate) { estimated(c); straggling(4)(c) }, cost, 4.8},
		"straggler probed":           {straggler, later, func(c *Candidate) { estimated(c); straggling(4)(c) }, cost, 1.2},
		"not probed, tight deadline": {straggler, func(r *Request) { later(r); r.Due = r.Now.Add(4 * time.Second) }, func(c *Candidate) { estimated(c); straggling(4)(c) }, cost, 4.8},
		"stall below timeout":        {StallScorer{TimeoutSeconds: 6}, later, stalled, cost, 0},
		"stall above timeout":        {StallScorer{TimeoutSeconds: 6}, func(r *Request) { r.Now = t0.Add(9 * time.Second) }, stalled, cost, 9},
		"idle, no progress":          {StallScorer{TimeoutSeconds: 6}, func(r *Request) { r.Now = t0.Add(9 * time.Second) }, none, cost, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := []Candidate{candidate("e", tt.change)}
			tt.scorer.Score(pipelineRequest(tt.request), c)
			assert.Assert(t, math.Abs(tt.read(&c[0])-tt.want) < 1e-9, "got %v, want %v", tt.read(&c[0]), tt.want)
		})
	}
}

func TestCompletionPicker(t *testing.T) {
	picker := CompletionPicker{TieMargin: 0.01}
	costs := func(costs ...float64) []Candidate {
		var list []Candidate
		for i, cost := range costs {
			list = append(list, candidate(domain.EndpointID('a'+rune(i)), func(c *Candidate) { c.Estimate.Cost = cost }))
		}
		return list
	}
	assert.Equal(t, picker.Pick(pipelineRequest(), costs(3, 1, 2)), 1)
	chosen := make(map[int]int)
	for affinity := range uint64(300) {
		r := pipelineRequest(func(r *Request) { r.Affinity = mix(affinity) })
		first := picker.Pick(r, costs(1.005, 1, 9, 1))
		assert.Equal(t, picker.Pick(r, costs(1, 1.005, 9, 1)), first)
		chosen[first]++
	}
	assert.Assert(t, chosen[0] > 60 && chosen[1] > 60 && chosen[3] > 60 && chosen[2] == 0, "%v", chosen)
}

func TestEstimatorFitsLine(t *testing.T) {
	prior := LinearModel{Base: 0.02, Slope: 1e-4}
	for name, tt := range map[string]struct {
		truth   LinearModel
		amounts []float64
	}{
		"slower hardware": {LinearModel{0.05, 4e-4}, []float64{50, 400, 3000, 8000}},
		"faster hardware": {LinearModel{0.01, 2e-5}, []float64{50, 400, 3000, 8000}},
		"constant amount": {LinearModel{0.03, 1e-4}, []float64{1000}},
	} {
		t.Run(name, func(t *testing.T) {
			var e Estimator
			assert.Equal(t, e.Fit(prior, workScale), prior)
			for i := range 200 {
				amount := tt.amounts[i%len(tt.amounts)]
				e.Add(amount, tt.truth.At(amount), 0.05)
			}
			for _, amount := range tt.amounts {
				got := e.Fit(prior, workScale).At(amount)
				assert.Assert(t, math.Abs(got/tt.truth.At(amount)-1) < 0.05, "amount %v: got %v, want %v", amount, got, tt.truth.At(amount))
			}
		})
	}
}
