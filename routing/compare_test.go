package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// A queueing model to compare routing policies: conversations on engines of two generations, one
// engine being a straggler for part of the time. Engines process prompts in order of arrival and
// decode at a rate that falls with the batch size at dispatch. The model is simplified; its figures
// are meaningful only relative to each other.

// modelEngine is a simulated engine.
type modelEngine struct {
	state            *capacity.EndpointState
	slowdown         float64
	prefillDoneAt    time.Time // completion time of the prompts dispatched so far
	cache            *PrefixTable
	reportedRequests int // number of requests in the last load report
}

// modelRequest is a request in progress.
type modelRequest struct {
	firstTokenAt time.Time // zero once processed
	endAt        time.Time
	engine       *modelEngine
	request      capacity.Request
	result       capacity.Result
}

// chooseFunc is a routing policy.
type chooseFunc func(m *model, waiting *capacity.QueuedRequest) int

type model struct {
	random    *rand.Rand
	now       time.Time
	router    *Router
	engines   []*modelEngine
	states    []*capacity.EndpointState
	running   []modelRequest
	turnCount int
	// totals are the seconds from arrival to completion; computedTokens counts the prompt tokens that
	// were not in the engine's cache.
	totals         []float64
	computedTokens float64
}

func newModel(seed uint64, options Options) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), now: t0, router: NewRouter(options)}
	for i := range 12 {
		e := &modelEngine{slowdown: 1 + 1.5*float64(i%2), cache: NewPrefixTable(2048, t0), prefillDoneAt: t0}
		e.state = &capacity.EndpointState{ID: domain.EndpointID('a' + rune(i)), Row: &config.EndpointRow{ID: domain.EndpointID('a' + rune(i)), Generation: string('x' + rune(i%2))}}
		m.engines, m.states = append(m.engines, e), append(m.states, e.state)
	}
	return m
}

// run simulates conversations at a rate of turns per second for the given virtual time.
func (m *model) run(choose chooseFunc, rate float64, length time.Duration) {
	var turns []capacity.Request
	nextReport := t0
	for m.now.Sub(t0) < length {
		m.now = m.now.Add(durationFromSeconds(m.random.ExpFloat64() / rate))
		m.finish()
		if m.now.After(nextReport) {
			nextReport = m.now.Add(time.Second)
			for _, e := range m.engines {
				e.reportedRequests = e.state.Requests
			}
		}
		straggling := m.now.Sub(t0) > length/3 && m.now.Sub(t0) < 2*length/3
		m.engines[0].slowdown = 1
		if straggling {
			m.engines[0].slowdown = 8
		}
		turns = m.turn(turns, choose)
	}
}

// turn continues or starts a conversation and dispatches the request.
func (m *model) turn(turns []capacity.Request, choose chooseFunc) []capacity.Request {
	m.turnCount++
	index := m.random.IntN(60)
	for len(turns) <= index {
		turns = append(turns, capacity.Request{Pool: "model/m", Blocks: []uint64{1, 2, 3, 4, 5, 6, 7, 8}})
	}
	request := turns[index]
	if len(request.Blocks) > 100 {
		request.Blocks = request.Blocks[:8]
	}
	request.Blocks = slices.Clone(request.Blocks)
	for range 2 + m.random.IntN(12) {
		request.Blocks = append(request.Blocks, m.random.Uint64())
	}
	request.Fingerprint = uint64(m.turnCount)
	request.PromptTokens = 64*len(request.Blocks) + 20
	request.AnswerTokens = int(math.Exp(3 + 3*m.random.Float64()))
	turns[index] = request
	waiting := capacity.QueuedRequest{Request: &request, Due: m.now.Add(time.Minute), Urgent: true}
	m.place(m.engines[choose(m, &waiting)], request)
	return turns
}

func (m *model) place(e *modelEngine, request capacity.Request) {
	m.router.Granted(m.now, e.state, &request)
	cached := 64 * e.cache.Depth(request.Blocks, 0)
	e.cache.Dispatched(m.now, request.Blocks)
	m.computedTokens += float64(64*(len(request.Blocks)) - cached)
	e.state.Requests++
	e.state.PrefillTokens += request.PromptTokens
	e.state.AnswerTokens += request.AnswerTokens
	start := m.now
	if e.prefillDoneAt.After(start) {
		start = e.prefillDoneAt
	}
	first := start.Add(durationFromSeconds(e.slowdown * (0.02 + 60e-6*float64(request.PromptTokens-cached))))
	e.prefillDoneAt = first
	end := first.Add(durationFromSeconds(e.slowdown * float64(request.AnswerTokens) * (0.010 + 0.0008*float64(e.state.Requests))))
	m.running = append(m.running, modelRequest{first, end, e, request, capacity.Result{
		Dispatched: true, Complete: true, FirstToken: first.Sub(m.now), Total: end.Sub(m.now),
		PromptTokens: request.PromptTokens, CachedTokens: cached, AnswerTokens: request.AnswerTokens,
	}})
	m.totals = append(m.totals, end.Sub(m.now).Seconds())
}

// finish processes the first tokens and completions up to now.
func (m *model) finish() {
	for i := range m.running {
		if r := &m.running[i]; !r.firstTokenAt.IsZero() && !r.firstTokenAt.After(m.now) {
			r.firstTokenAt = time.Time{}
			r.engine.state.PrefillTokens -= r.request.PromptTokens
		}
	}
	m.running = slices.DeleteFunc(m.running, func(r modelRequest) bool {
		if r.endAt.After(m.now) {
			return false
		}
		s := r.engine.state
		s.Requests--
		s.AnswerTokens -= r.request.AnswerTokens
		m.router.Observe(r.endAt, s, &r.request, r.result)
		return true
	})
}

func (m *model) mean() float64 {
	sum := 0.0
	for _, total := range m.totals {
		sum += total
	}
	return sum / float64(len(m.totals))
}

func (m *model) quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(m.totals))
	return sorted[int(q*float64(len(sorted)-1))]
}

func random(m *model, _ *capacity.QueuedRequest) int     { return m.random.IntN(len(m.engines)) }
func roundRobin(m *model, _ *capacity.QueuedRequest) int { return m.turnCount % len(m.engines) }

// leastBy returns the engine with the lowest value, breaking ties at random.
func leastBy(m *model, value func(e *modelEngine) int) int {
	best, ties := 0, 0
	for i, e := range m.engines {
		switch {
		case value(e) < value(m.engines[best]):
			best, ties = i, 1
		case value(e) == value(m.engines[best]):
			ties++
			if m.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func leastReported(m *model, _ *capacity.QueuedRequest) int {
	return leastBy(m, func(e *modelEngine) int { return e.reportedRequests })
}

func leastOutstanding(m *model, _ *capacity.QueuedRequest) int {
	return leastBy(m, func(e *modelEngine) int { return e.state.Requests })
}

func routerChoice(m *model, w *capacity.QueuedRequest) int {
	at, _ := m.router.Choose(m.now, w, m.states)
	return at
}

// TestCompareWays compares the Router with simple policies on the same seeds, and with variants of
// itself that have features disabled.
func TestCompareWays(t *testing.T) {
	type result struct{ mean, p99, computed float64 }
	simulate := func(choose chooseFunc, options Options) result {
		var mean result
		const seeds = 3
		for seed := range uint64(seeds) {
			m := newModel(seed, options)
			m.run(choose, 14, 2*time.Minute)
			mean.mean += m.mean() / seeds
			mean.p99 += m.quantile(0.99) / seeds
			mean.computed += m.computedTokens / float64(len(m.totals)) / seeds
		}
		return mean
	}
	results := make(map[string]result)
	for _, policy := range []struct {
		name    string
		choose  chooseFunc
		options Options
	}{
		{"random", random, Options{}},
		{"round robin", roundRobin, Options{}},
		{"least reported load", leastReported, Options{}},
		{"least outstanding", leastOutstanding, Options{}},
		{"router", routerChoice, Options{}},
		{"router, prefill weight 0", routerChoice, Options{PrefillWeight: -1}},
		{"router, prefill weight 10", routerChoice, Options{PrefillWeight: 10}},
		{"router, no prefixes", routerChoice, Options{PrefixBlocks: 1}},
		{"router, no stragglers", routerChoice, Options{StragglerRatio: 1e9}},
	} {
		r := simulate(policy.choose, policy.options)
		results[policy.name] = r
		t.Logf("%-28s mean %6.2f s  p99 %7.2f s  prompt tokens computed %5.0f a request", policy.name, r.mean, r.p99, r.computed)
	}
	router := results["router"]
	assert.Assert(t, router.computed < 0.5*results["router, no prefixes"].computed)
	assert.Assert(t, router.computed < 0.8*results["router, prefill weight 0"].computed)
	for _, name := range []string{"random", "round robin", "least reported load", "least outstanding"} {
		assert.Assert(t, router.mean < 0.75*results[name].mean && router.p99 < results[name].p99, name)
		assert.Assert(t, router.computed < 0.6*results[name].computed, name)
	}
}
