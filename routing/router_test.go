package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// testOwner drives a Router as a pool owner does, with a simulated clock.
type testOwner struct {
	t            *testing.T
	now          time.Time
	router       *Router
	states       []*capacity.EndpointState
	requestCount uint64
}

func newTestOwner(t *testing.T, endpoints int, options Options) *testOwner {
	o := &testOwner{t: t, now: t0, router: NewRouter(options)}
	for i := range endpoints {
		o.states = append(o.states, &capacity.EndpointState{ID: domain.EndpointID(fmt.Sprint(i)), Row: &config.EndpointRow{ID: domain.EndpointID(fmt.Sprint(i))}})
	}
	return o
}

// heldGrant is a grant that has not ended.
type heldGrant struct {
	request capacity.Request
	state   *capacity.EndpointState
}

func (o *testOwner) newRequest() capacity.Request {
	o.requestCount++
	return capacity.Request{Pool: "model/m", PromptTokens: 400, AnswerTokens: 100, Fingerprint: o.requestCount}
}

// choose returns the index of the chosen endpoint, or -1 if the request has to wait.
func (o *testOwner) choose(request capacity.Request, urgent bool) int {
	waiting := capacity.QueuedRequest{Request: &request, Due: o.now.Add(time.Minute), Urgent: urgent}
	if at, ok := o.router.Choose(o.now, &waiting, o.states); ok {
		return at
	}
	return -1
}

func (o *testOwner) grant(at int, request capacity.Request) heldGrant {
	state := o.states[at]
	o.router.Granted(o.now, state, &request)
	state.Requests++
	state.PromptTokens += request.PromptTokens
	state.PrefillTokens += request.PromptTokens
	state.AnswerTokens += request.AnswerTokens
	return heldGrant{request, state}
}

func (o *testOwner) end(h heldGrant, result capacity.Result) {
	h.state.Requests--
	h.state.PromptTokens -= h.request.PromptTokens
	h.state.PrefillTokens = max(h.state.PrefillTokens-h.request.PromptTokens, 0)
	h.state.AnswerTokens -= h.request.AnswerTokens
	o.router.Observe(o.now, h.state, &h.request, result)
}

// completeResult returns the result of a request that took factor times the normal duration.
func completeResult(factor float64) capacity.Result {
	return capacity.Result{
		Dispatched: true, Complete: true, PromptTokens: 400, AnswerTokens: 101,
		FirstToken: durationFromSeconds(0.1 * factor), Total: durationFromSeconds(1.1 * factor),
	}
}

// train completes requests on each endpoint, which takes its factor times the normal duration.
func (o *testOwner) train(rounds int, factors ...float64) {
	for range rounds {
		for at, factor := range factors {
			h := o.grant(at, o.newRequest())
			o.now = o.now.Add(100 * time.Millisecond)
			o.end(h, completeResult(factor))
		}
	}
}

// selectionShare returns the fraction of 200 independent decisions that select the endpoint.
func (o *testOwner) selectionShare(at int) float64 {
	count := 0
	for range 200 {
		if o.choose(o.newRequest(), false) == at {
			count++
		}
	}
	return float64(count) / 200
}

var (
	unreachableResult = capacity.Result{Unreachable: true}
	crashedResult     = capacity.Result{Dispatched: true, Crashed: true}
)

// addLoad places the given number of requests without a first token on each of the endpoints.
func (o *testOwner) addLoad(requests int, endpoints ...int) {
	for _, at := range endpoints {
		for range requests {
			o.grant(at, o.newRequest())
		}
	}
}

func TestStragglerIsAvoidedProbedAndRestored(t *testing.T) {
	o := newTestOwner(t, 3, Options{})
	o.train(20, 1, 1, 1)
	assert.Assert(t, o.selectionShare(0) > 0.2)
	o.train(3, 6)
	assert.Equal(t, o.selectionShare(0), 0.0)
	o.addLoad(10, 1, 2)
	assert.Equal(t, o.selectionShare(0), 0.0, "avoided even when the others take twice as long as normal")
	o.now = o.now.Add(DefaultProbeInterval)
	assert.Equal(t, o.selectionShare(0), 1.0, "probed")
	first := o.grant(0, o.newRequest())
	assert.Equal(t, o.selectionShare(0), 0.0, "probed by one request at a time")
	o.end(first, completeResult(1))
	for range 2 {
		o.now = o.now.Add(DefaultProbeInterval)
		o.end(o.grant(0, o.newRequest()), completeResult(1))
	}
	speed := o.router.State()[0].Speed
	assert.Assert(t, speed.FirstToken.At(400) < 0.115, "samples from before the detection are discarded: %v", speed)
	o.addLoad(3, 0)
	assert.Equal(t, o.selectionShare(0), 1.0)
}

func TestStallAndLoadReports(t *testing.T) {
	o := newTestOwner(t, 2, Options{})
	o.train(20, 1, 1)
	o.addLoad(1, 0, 1)
	assert.Assert(t, o.selectionShare(0) > 0.2)
	o.router.Report(o.now, o.states[0], endpoint.LoadReport{Running: 20, Waiting: 20})
	assert.Equal(t, o.selectionShare(0), 0.0, "a report of additional load is taken into account")
	o.now = o.now.Add(2 * DefaultMaxReportAge)
	assert.Assert(t, o.selectionShare(0) > 0.2, "an expired report is ignored")
	o.addLoad(1, 1)
	assert.Equal(t, o.selectionShare(0), 1.0)
	o.states[1].PrefillTokens = 400
	o.choose(o.newRequest(), false)
	o.now = o.now.Add(DefaultStallTimeout)
	assert.Equal(t, o.selectionShare(0), 0.0, "an endpoint without a first token is avoided")
}

func TestStragglerSamplesDoNotAffectGeneration(t *testing.T) {
	o := newTestOwner(t, 3, Options{})
	o.train(20, 1, 1, 1)
	o.train(100, 6, 1, 1)
	state := o.router.State()
	assert.Assert(t, state[0].Straggler && state[0].Ratio > 5, "%v", state[0])
	assert.Assert(t, state[1].Ratio > 0.9, "%v", state[1])
}

func TestUniformlySlowGenerationHasNoStragglers(t *testing.T) {
	o := newTestOwner(t, 3, Options{})
	o.train(20, 1, 1, 1)
	o.train(80, 4, 4, 4)
	for _, e := range o.router.State() {
		assert.Assert(t, !e.Straggler && e.Ratio < 1.2, "%v", e)
	}
}

func TestSpeedsAreLearned(t *testing.T) {
	o := newTestOwner(t, 2, Options{})
	o.train(40, 1, 1.6)
	assert.Equal(t, o.selectionShare(0), 1.0, "the faster endpoint is chosen while both are idle")
	o.addLoad(12, 0)
	assert.Equal(t, o.selectionShare(0), 0.0, "the slower endpoint is chosen when the faster one has many pending prompts")
}

func TestEjection(t *testing.T) {
	o := newTestOwner(t, 3, Options{})
	o.end(o.grant(0, o.newRequest()), unreachableResult)
	assert.Equal(t, o.selectionShare(0), 0.0)
	o.now = o.now.Add(DefaultInitialEjection)
	probe := o.grant(0, o.newRequest())
	probe.state.PrefillTokens = 400
	assert.Equal(t, o.selectionShare(0), 0.0, "probed by a single request")
	o.end(probe, unreachableResult)
	o.now = o.now.Add(DefaultInitialEjection)
	assert.Equal(t, o.selectionShare(0), 0.0, "the second ejection is twice as long")
	o.now = o.now.Add(DefaultInitialEjection)
	o.end(o.grant(0, o.newRequest()), completeResult(1))
	assert.Assert(t, o.selectionShare(0) > 0)
}

func TestResultsOfOneCrashCountAsOneFailure(t *testing.T) {
	o := newTestOwner(t, 3, Options{})
	var running []heldGrant
	for range 8 {
		running = append(running, o.grant(0, o.newRequest()))
	}
	o.now = o.now.Add(time.Second)
	for _, h := range running {
		o.end(h, crashedResult)
		o.now = o.now.Add(200 * time.Millisecond)
	}
	assert.Equal(t, o.router.State()[0].Failures, 1)
	assert.Equal(t, o.states[0].ChooserState.(*Endpoint).ejector.Health(o.now), HealthProbation)
}

func TestMostlyEjectedPoolIsProbed(t *testing.T) {
	o := newTestOwner(t, 3, Options{})
	for at := range 3 {
		o.end(o.grant(at, o.newRequest()), crashedResult)
	}
	assert.Assert(t, o.choose(o.newRequest(), false) >= 0, "the remaining endpoints are probed by single requests")
	for range 2 {
		at := o.choose(o.newRequest(), false)
		assert.Assert(t, at >= 0)
		o.grant(at, o.newRequest())
	}
	o = newTestOwner(t, 1, Options{})
	for range 9 {
		o.end(o.grant(0, o.newRequest()), unreachableResult)
		assert.Equal(t, o.choose(o.newRequest(), false), -1)
		assert.Equal(t, o.choose(o.newRequest(), true), 0, "a request that cannot wait takes the ejected endpoint")
		o.now = o.now.Add(DefaultInitialEjection)
		assert.Equal(t, o.choose(o.newRequest(), false), 0, "a single endpoint is probed each second")
	}
}

func TestPrefixAndSessionAffinity(t *testing.T) {
	o := newTestOwner(t, 4, Options{})
	o.train(10, 1, 1, 1, 1)
	request := o.newRequest()
	request.PromptTokens, request.Blocks, request.Session = 4096, make([]uint64, 64), "s"
	for i := range request.Blocks {
		request.Blocks[i] = mix(uint64(i) + 99)
	}
	first := o.choose(request, false)
	o.end(o.grant(first, request), completeResult(1))
	other := request
	other.Session = "another"
	next := request
	next.Blocks = []uint64{1}
	for name, request := range map[string]capacity.Request{"shared prompt": other, "next turn": next} {
		o.grant(first, o.newRequest())
		assert.Equal(t, o.choose(request, false), first, name)
	}
	o.addLoad(40, first)
	assert.Assert(t, o.choose(other, false) != first, "load outweighs affinity")
	before := o.router.State()[first].CacheTrust
	o.end(o.grant(first, other), completeResult(1))
	assert.Assert(t, o.router.State()[first].CacheTrust < before, "a missed cache prediction reduces the trust")
	o.router.CacheEvents(o.now, o.states[first], []endpoint.CacheEvent{{Sequence: 9, Block: 5, Stored: true}})
	e := o.states[first].ChooserState.(*Endpoint)
	assert.Equal(t, e.prefixes.Depth(request.Blocks, 0), 64)
	o.router.CacheEvents(o.now, o.states[first], []endpoint.CacheEvent{{Sequence: 1, Block: 5, Stored: true}})
	assert.Equal(t, e.prefixes.Depth(request.Blocks, 0), 0, "a restarted sequence clears the prefix table")
	o.router.Granted(o.now, o.states[first], &request)
	o.router.Observe(o.now, o.states[first], &request, crashedResult)
	assert.Equal(t, e.prefixes.Depth(request.Blocks, 0), 0, "a crash clears the prefix table")
}

func TestServiceCallsAreDistributed(t *testing.T) {
	o := newTestOwner(t, 4, Options{})
	served := make(map[int]int)
	for range 400 {
		request := capacity.Request{Pool: "service/catalogue"}
		at := o.choose(request, false)
		served[at]++
		h := o.grant(at, request)
		o.now = o.now.Add(time.Millisecond)
		o.end(h, capacity.Result{Dispatched: true, Complete: true, FirstToken: 5 * time.Millisecond, Total: 6 * time.Millisecond})
	}
	for at := range 4 {
		assert.Assert(t, served[at] > 40, "%v", served)
	}
	o.addLoad(3, 1)
	for range 20 {
		assert.Assert(t, o.choose(capacity.Request{Pool: "service/catalogue"}, false) != 1)
	}
}

func TestHoldBack(t *testing.T) {
	for ratio, want := range map[float64]int{-1: 1, 0: -1, 2: -1, 50: 1} {
		o := newTestOwner(t, 2, Options{HoldRatio: ratio})
		o.states[1].Row = &config.EndpointRow{ID: "1", Generation: "old"}
		o.train(40, 0.2, 4)
		o.choose(o.newRequest(), false)
		o.grant(0, o.newRequest())
		o.states[0].AnswerTokens = 5
		o.router.Report(o.now, o.states[0], endpoint.LoadReport{})
		o.router.Granted(o.now, o.states[0], &capacity.Request{})
		o.states = o.states[1:]
		got := o.choose(o.newRequest(), false)
		assert.Equal(t, got, min(want, 0), "ratio %v", ratio)
		assert.Equal(t, o.choose(o.newRequest(), true), 0, "a request that cannot wait is not held back")
	}
}

func TestForecastNeedsSamples(t *testing.T) {
	o := newTestOwner(t, 1, Options{})
	request := o.newRequest()
	assert.Equal(t, o.router.Forecast(o.now, o.states[0], &request), capacity.Forecast{})
	o.train(30, 1)
	f := o.router.Forecast(o.now, o.states[0], &request)
	assert.Assert(t, f.FirstToken > 80*time.Millisecond && f.FirstToken < 120*time.Millisecond, "%v", f)
	assert.Assert(t, f.Total > time.Second && f.Total < 1200*time.Millisecond, "%v", f)
}

// fakeQuarantine is a Quarantine with fixed answers.
type fakeQuarantine struct {
	noQuarantine
	left    time.Duration
	suspect bool
	alone   []bool
}

func (l *fakeQuarantine) Quarantined(uint64) time.Duration { return l.left }
func (l *fakeQuarantine) Suspect(uint64) bool              { return l.suspect }
func (l *fakeQuarantine) Crashed(_ domain.EndpointID, _ uint64, alone bool) {
	l.alone = append(l.alone, alone)
}

func TestQuarantineIntegration(t *testing.T) {
	q := &fakeQuarantine{}
	o := newTestOwner(t, 2, Options{Quarantine: q})
	request := o.newRequest()
	assert.NilError(t, o.router.Admit(o.now, &request))
	q.left = time.Minute
	err := o.router.Admit(o.now, &request)
	var refusal *capacity.Refusal
	assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfter == time.Minute)
	assert.ErrorIs(t, err, capacity.ErrQuarantined)

	o.end(o.grant(0, o.newRequest()), crashedResult)
	first, second := o.grant(1, o.newRequest()), o.grant(1, o.newRequest())
	o.end(first, crashedResult)
	o.end(second, crashedResult)
	assert.DeepEqual(t, q.alone, []bool{true, false, false})

	o = newTestOwner(t, 2, Options{Quarantine: q})
	q.suspect = true
	at := o.choose(o.newRequest(), false)
	o.grant(at, o.newRequest())
	assert.Equal(t, o.choose(o.newRequest(), false), 1-at, "suspects run on different endpoints")
}

func TestLengthPredictor(t *testing.T) {
	p := NewLengthPredictor()
	assert.Equal(t, p.Predict("o", "model/m", 100, 0), DefaultAnswerTokens)
	assert.Equal(t, p.Predict("o", "model/m", 100, 50), 50)
	for range 200 {
		p.Observe("o", "model/m", 100, 0, 20)
		p.Observe("o", "model/m", 3000, 0, 900)
		p.Observe("o", "model/m", 100, 3200, 700)
		p.Observe("o", "model/m", 100, 96, 24)
	}
	assert.Equal(t, p.Predict("o", "model/m", 100, 3000), 700, "similar limit")
	assert.Equal(t, p.Predict("o", "model/m", 100, 100), 24)
	assert.Equal(t, p.Predict("o", "model/m", 90, 0), 20)
	assert.Equal(t, p.Predict("o", "model/m", 3500, 0), 900)
	mixed := p.Predict("o", "model/m", 10, 0)
	assert.Assert(t, mixed > 300 && mixed < 600, "unknown prompt length: %d", mixed)
	ofPool := p.Predict("new", "model/m", 3000, 0)
	assert.Equal(t, ofPool, 900, "unknown organisation, predicted from the pool")
}

func TestFactoryState(t *testing.T) {
	f := NewFactory(Options{})
	state := &capacity.EndpointState{ID: "e", Row: &config.EndpointRow{ID: "e"}}
	chooser := f.New()
	chooser.Granted(t0, state, &capacity.Request{})
	assert.Equal(t, len(f.State()), 1)
}
