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

// bench drives a Router as an owner does, on a clock of its own.
type bench struct {
	t      *testing.T
	now    time.Time
	router *Router
	states []*capacity.EndpointState
	asks   uint64
}

func newBench(t *testing.T, endpoints int, options Options) *bench {
	b := &bench{t: t, now: t0, router: NewRouter(options)}
	for i := range endpoints {
		b.states = append(b.states, &capacity.EndpointState{ID: domain.EndpointID(fmt.Sprint(i)), Row: &config.EndpointRow{ID: domain.EndpointID(fmt.Sprint(i))}})
	}
	return b
}

// held is a grant that the bench holds.
type held struct {
	ask   capacity.Request
	state *capacity.EndpointState
}

func (b *bench) ask() capacity.Request {
	b.asks++
	return capacity.Request{Pool: "model/m", PromptTokens: 400, AnswerTokens: 100, Fingerprint: b.asks}
}

// choose returns the endpoint's place, -1 if the ask is to wait.
func (b *bench) choose(ask capacity.Request, pressing bool) int {
	waiting := capacity.QueuedRequest{Request: &ask, Due: b.now.Add(time.Minute), Urgent: pressing}
	if at, ok := b.router.Choose(b.now, &waiting, b.states); ok {
		return at
	}
	return -1
}

func (b *bench) grant(at int, ask capacity.Request) held {
	state := b.states[at]
	b.router.Granted(b.now, state, &ask)
	state.Requests++
	state.PromptTokens += ask.PromptTokens
	state.PrefillTokens += ask.PromptTokens
	state.AnswerTokens += ask.AnswerTokens
	return held{ask, state}
}

func (b *bench) end(h held, result capacity.Result) {
	h.state.Requests--
	h.state.PromptTokens -= h.ask.PromptTokens
	h.state.PrefillTokens = max(h.state.PrefillTokens-h.ask.PromptTokens, 0)
	h.state.AnswerTokens -= h.ask.AnswerTokens
	b.router.Observe(b.now, h.state, &h.ask, result)
}

// complete is the result of a request that took so many times as long as usual.
func complete(factor float64) capacity.Result {
	return capacity.Result{
		Dispatched: true, Complete: true, PromptTokens: 400, AnswerTokens: 101,
		FirstToken: duration(0.1 * factor), Total: duration(1.1 * factor),
	}
}

// train runs requests at each endpoint, as slow as its factor.
func (b *bench) train(rounds int, factors ...float64) {
	for range rounds {
		for at, factor := range factors {
			h := b.grant(at, b.ask())
			b.now = b.now.Add(100 * time.Millisecond)
			b.end(h, complete(factor))
		}
	}
}

// share returns the part of 200 asks, placed one at a time, that goes to an endpoint.
func (b *bench) share(at int) float64 {
	count := 0
	for range 200 {
		if b.choose(b.ask(), false) == at {
			count++
		}
	}
	return float64(count) / 200
}

var (
	refused = capacity.Result{Unreachable: true}
	broken  = capacity.Result{Dispatched: true, Crashed: true}
)

// load gives each of the endpoints so many requests that wait for their first token.
func (b *bench) load(requests int, endpoints ...int) {
	for _, at := range endpoints {
		for range requests {
			b.grant(at, b.ask())
		}
	}
}

func TestStragglerIsLeftAloneAndComesBack(t *testing.T) {
	b := newBench(t, 3, Options{})
	b.train(20, 1, 1, 1)
	assert.Assert(t, b.share(0) > 0.2)
	b.train(3, 6)
	assert.Equal(t, b.share(0), 0.0)
	b.load(10, 1, 2)
	assert.Equal(t, b.share(0), 0.0, "not even when others take twice as long as usual")
	b.now = b.now.Add(DefaultProbeEvery)
	assert.Equal(t, b.share(0), 1.0, "tried again")
	first := b.grant(0, b.ask())
	assert.Equal(t, b.share(0), 0.0, "by one request, not all")
	b.end(first, complete(1))
	for range 2 {
		b.now = b.now.Add(DefaultProbeEvery)
		b.end(b.grant(0, b.ask()), complete(1))
	}
	speed := b.router.State()[0].Speed
	assert.Assert(t, speed.First.At(400) < 0.115, "what it was found out by is forgotten: %v", speed)
	b.load(3, 0)
	assert.Equal(t, b.share(0), 1.0)
}

func TestSilenceAndReports(t *testing.T) {
	b := newBench(t, 2, Options{})
	b.train(20, 1, 1)
	b.load(1, 0, 1)
	assert.Assert(t, b.share(0) > 0.2)
	b.router.Report(b.now, b.states[0], endpoint.LoadReport{Running: 20, Waiting: 20})
	assert.Equal(t, b.share(0), 0.0, "it says that it has other work")
	b.now = b.now.Add(2 * DefaultReportAge)
	assert.Assert(t, b.share(0) > 0.2, "long ago")
	b.load(1, 1)
	assert.Equal(t, b.share(0), 1.0)
	b.states[1].PrefillTokens = 400
	b.choose(b.ask(), false)
	b.now = b.now.Add(DefaultSilence)
	assert.Equal(t, b.share(0), 0.0, "no first token has come from there")
}

func TestStragglerDoesNotSpoilItsGeneration(t *testing.T) {
	b := newBench(t, 3, Options{})
	b.train(20, 1, 1, 1)
	b.train(100, 6, 1, 1)
	state := b.router.State()
	assert.Assert(t, state[0].Straggler && state[0].Ratio > 5, "%v", state[0])
	assert.Assert(t, state[1].Ratio > 0.9, "%v", state[1])
}

func TestAllSlowIsNoStraggler(t *testing.T) {
	b := newBench(t, 3, Options{})
	b.train(20, 1, 1, 1)
	b.train(80, 4, 4, 4)
	for _, e := range b.router.State() {
		assert.Assert(t, !e.Straggler && e.Ratio < 1.2, "%v", e)
	}
}

func TestSpeedsAreLearned(t *testing.T) {
	b := newBench(t, 2, Options{})
	b.train(40, 1, 1.6)
	assert.Equal(t, b.share(0), 1.0, "the faster one while both are idle")
	b.load(12, 0)
	assert.Equal(t, b.share(0), 0.0, "the slower one when the faster one is full of prompts")
}

func TestEjection(t *testing.T) {
	b := newBench(t, 3, Options{})
	b.end(b.grant(0, b.ask()), refused)
	assert.Equal(t, b.share(0), 0.0)
	b.now = b.now.Add(DefaultEjectFirst)
	probe := b.grant(0, b.ask())
	probe.state.PrefillTokens = 400
	assert.Equal(t, b.share(0), 0.0, "tried by a single request")
	b.end(probe, refused)
	b.now = b.now.Add(DefaultEjectFirst)
	assert.Equal(t, b.share(0), 0.0, "out for twice as long")
	b.now = b.now.Add(DefaultEjectFirst)
	b.end(b.grant(0, b.ask()), complete(1))
	assert.Assert(t, b.share(0) > 0)
}

func TestEjectionByOneCrashIsCountedOnce(t *testing.T) {
	b := newBench(t, 3, Options{})
	var running []held
	for range 8 {
		running = append(running, b.grant(0, b.ask()))
	}
	b.now = b.now.Add(time.Second)
	for _, h := range running {
		b.end(h, broken)
		b.now = b.now.Add(200 * time.Millisecond)
	}
	assert.Equal(t, b.router.State()[0].Failures, 1)
	assert.Equal(t, b.states[0].ChooserState.(*Endpoint).ejector.Health(b.now), HealthProbation)
}

func TestLastEndpointsStay(t *testing.T) {
	b := newBench(t, 3, Options{})
	for at := range 3 {
		b.end(b.grant(at, b.ask()), broken)
	}
	assert.Assert(t, b.choose(b.ask(), false) >= 0, "the last ones are tried by single requests")
	for range 2 {
		at := b.choose(b.ask(), false)
		assert.Assert(t, at >= 0)
		b.grant(at, b.ask())
	}
	b = newBench(t, 1, Options{})
	for range 9 {
		b.end(b.grant(0, b.ask()), refused)
		assert.Equal(t, b.choose(b.ask(), false), -1)
		assert.Equal(t, b.choose(b.ask(), true), 0, "a pressing ask takes what there is")
		b.now = b.now.Add(DefaultEjectFirst)
		assert.Equal(t, b.choose(b.ask(), false), 0, "the only one is tried each second")
	}
}

func TestAffinity(t *testing.T) {
	b := newBench(t, 4, Options{})
	b.train(10, 1, 1, 1, 1)
	ask := b.ask()
	ask.PromptTokens, ask.Blocks, ask.Session = 4096, make([]uint64, 64), "s"
	for i := range ask.Blocks {
		ask.Blocks[i] = mix(uint64(i) + 99)
	}
	first := b.choose(ask, false)
	b.end(b.grant(first, ask), complete(1))
	other := ask
	other.Session = "another"
	next := ask
	next.Blocks = []uint64{1}
	for name, ask := range map[string]capacity.Request{"shared prompt": other, "next turn": next} {
		b.grant(first, b.ask())
		assert.Equal(t, b.choose(ask, false), first, name)
	}
	b.load(40, first)
	assert.Assert(t, b.choose(other, false) != first, "not at any price")
	before := b.router.State()[first].CacheTrust
	b.end(b.grant(first, other), complete(1))
	assert.Assert(t, b.router.State()[first].CacheTrust < before, "nothing of it was cached")
	b.router.CacheEvents(b.now, b.states[first], []endpoint.CacheEvent{{Sequence: 9, Block: 5, Stored: true}})
	e := b.states[first].ChooserState.(*Endpoint)
	assert.Equal(t, e.prefixes.Depth(ask.Blocks, 0), 64)
	b.router.CacheEvents(b.now, b.states[first], []endpoint.CacheEvent{{Sequence: 1, Block: 5, Stored: true}})
	assert.Equal(t, e.prefixes.Depth(ask.Blocks, 0), 0, "the endpoint began anew")
	b.router.Granted(b.now, b.states[first], &ask)
	b.router.Observe(b.now, b.states[first], &ask, broken)
	assert.Equal(t, e.prefixes.Depth(ask.Blocks, 0), 0, "the endpoint crashed")
}

func TestPlainCallsSpread(t *testing.T) {
	b := newBench(t, 4, Options{})
	served := make(map[int]int)
	for range 400 {
		ask := capacity.Request{Pool: "service/catalogue"}
		at := b.choose(ask, false)
		served[at]++
		h := b.grant(at, ask)
		b.now = b.now.Add(time.Millisecond)
		b.end(h, capacity.Result{Dispatched: true, Complete: true, FirstToken: 5 * time.Millisecond, Total: 6 * time.Millisecond})
	}
	for at := range 4 {
		assert.Assert(t, served[at] > 40, "%v", served)
	}
	b.load(3, 1)
	for range 20 {
		assert.Assert(t, b.choose(capacity.Request{Pool: "service/catalogue"}, false) != 1)
	}
}

func TestHoldBack(t *testing.T) {
	for ratio, want := range map[float64]int{-1: 1, 0: -1, 2: -1, 50: 1} {
		b := newBench(t, 2, Options{HoldRatio: ratio})
		b.states[1].Row = &config.EndpointRow{ID: "1", Generation: "old"}
		b.train(40, 0.2, 4)
		b.choose(b.ask(), false)
		b.grant(0, b.ask())
		b.states[0].AnswerTokens = 5
		b.router.Report(b.now, b.states[0], endpoint.LoadReport{})
		b.router.Granted(b.now, b.states[0], &capacity.Request{})
		b.states = b.states[1:]
		got := b.choose(b.ask(), false)
		assert.Equal(t, got, min(want, 0), "ratio %v", ratio)
		assert.Equal(t, b.choose(b.ask(), true), 0, "a pressing ask is not held back")
	}
}

func TestForecastNeedsSamples(t *testing.T) {
	b := newBench(t, 1, Options{})
	ask := b.ask()
	assert.Equal(t, b.router.Forecast(b.now, b.states[0], &ask), capacity.Forecast{})
	b.train(30, 1)
	f := b.router.Forecast(b.now, b.states[0], &ask)
	assert.Assert(t, f.FirstToken > 80*time.Millisecond && f.FirstToken < 120*time.Millisecond, "%v", f)
	assert.Assert(t, f.Total > time.Second && f.Total < 1200*time.Millisecond, "%v", f)
}

// listed is a Quarantine with fixed words.
type listed struct {
	noQuarantine
	left    time.Duration
	suspect bool
	alone   []bool
}

func (l *listed) Quarantined(uint64) time.Duration { return l.left }
func (l *listed) Suspect(uint64) bool              { return l.suspect }
func (l *listed) Crashed(_ domain.EndpointID, _ uint64, alone bool) {
	l.alone = append(l.alone, alone)
}

func TestQuarantineIsAskedAndTold(t *testing.T) {
	q := &listed{}
	b := newBench(t, 2, Options{Quarantine: q})
	ask := b.ask()
	assert.NilError(t, b.router.Admit(b.now, &ask))
	q.left = time.Minute
	err := b.router.Admit(b.now, &ask)
	var refusal *capacity.Refusal
	assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfter == time.Minute)
	assert.ErrorIs(t, err, capacity.ErrQuarantined)

	b.end(b.grant(0, b.ask()), broken)
	first, second := b.grant(1, b.ask()), b.grant(1, b.ask())
	b.end(first, broken)
	b.end(second, broken)
	assert.DeepEqual(t, q.alone, []bool{true, false, false})

	b = newBench(t, 2, Options{Quarantine: q})
	q.suspect = true
	at := b.choose(b.ask(), false)
	b.grant(at, b.ask())
	assert.Equal(t, b.choose(b.ask(), false), 1-at, "suspects are kept apart")
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
	assert.Equal(t, p.Predict("o", "model/m", 100, 3000), 700, "like limits")
	assert.Equal(t, p.Predict("o", "model/m", 100, 100), 24)
	assert.Equal(t, p.Predict("o", "model/m", 90, 0), 20)
	assert.Equal(t, p.Predict("o", "model/m", 3500, 0), 900)
	mixed := p.Predict("o", "model/m", 10, 0)
	assert.Assert(t, mixed > 300 && mixed < 600, "another prompt length: %d", mixed)
	known := p.Predict("new", "model/m", 3000, 0)
	assert.Equal(t, known, 900, "another organisation, by the pool's prompts")
}

func TestFactoryForgetsUnusedRouters(t *testing.T) {
	f := NewFactory(Options{})
	state := &capacity.EndpointState{ID: "e", Row: &config.EndpointRow{ID: "e"}}
	chooser := f.New()
	chooser.Granted(t0, state, &capacity.Request{})
	assert.Equal(t, len(f.State()), 1)
}
