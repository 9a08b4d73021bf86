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

// A queueing model to compare ways of choosing: conversations over engines of two
// generations, one of them a straggler for a while. Engines compute prompts in
// order of arrival and decode at a speed that falls with the batch at the time of
// dispatch. It leaves out much; its figures are for comparison only.

// modelEngine is an engine of the model.
type modelEngine struct {
	state     *capacity.EndpointState
	slowness  float64
	prefillAt time.Time // when the prompts dispatched so far are computed
	cache     *PrefixTable
	reported  int // requests at the last report
}

// modelRun is one request that runs.
type modelRun struct {
	first  time.Time // zero once noticed
	end    time.Time
	engine *modelEngine
	ask    capacity.Request
	result capacity.Result
}

// chooseFunc is a way of choosing.
type chooseFunc func(m *model, waiting *capacity.QueuedRequest) int

type model struct {
	random  *rand.Rand
	now     time.Time
	router  *Router
	engines []*modelEngine
	states  []*capacity.EndpointState
	running []modelRun
	count   int
	// totals are seconds from arrival to end; wasted counts prompt tokens computed
	// although another engine, or this one earlier, had computed them.
	totals []float64
	wasted float64
}

func newModel(seed uint64, options Options) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), now: t0, router: NewRouter(options)}
	for i := range 12 {
		e := &modelEngine{slowness: 1 + 1.5*float64(i%2), cache: NewPrefixTable(2048, t0), prefillAt: t0}
		e.state = &capacity.EndpointState{ID: domain.EndpointID('a' + rune(i)), Row: &config.EndpointRow{ID: domain.EndpointID('a' + rune(i)), Generation: string('x' + rune(i%2))}}
		m.engines, m.states = append(m.engines, e), append(m.states, e.state)
	}
	return m
}

// run plays conversations at a rate of turns a second for some virtual time.
func (m *model) run(choose chooseFunc, rate float64, length time.Duration) {
	var turns []capacity.Request
	nextReport := t0
	for m.now.Sub(t0) < length {
		m.now = m.now.Add(duration(m.random.ExpFloat64() / rate))
		m.finish()
		if m.now.After(nextReport) {
			nextReport = m.now.Add(time.Second)
			for _, e := range m.engines {
				e.reported = e.state.Requests
			}
		}
		straggles := m.now.Sub(t0) > length/3 && m.now.Sub(t0) < 2*length/3
		m.engines[0].slowness = 1
		if straggles {
			m.engines[0].slowness = 8
		}
		turns = m.turn(turns, choose)
	}
}

// turn continues a conversation or begins one, and places it.
func (m *model) turn(turns []capacity.Request, choose chooseFunc) []capacity.Request {
	m.count++
	at := m.random.IntN(60)
	for len(turns) <= at {
		turns = append(turns, capacity.Request{Pool: "model/m", Blocks: []uint64{1, 2, 3, 4, 5, 6, 7, 8}})
	}
	ask := turns[at]
	if len(ask.Blocks) > 100 {
		ask.Blocks = ask.Blocks[:8]
	}
	ask.Blocks = slices.Clone(ask.Blocks)
	for range 2 + m.random.IntN(12) {
		ask.Blocks = append(ask.Blocks, m.random.Uint64())
	}
	ask.Fingerprint = uint64(m.count)
	ask.PromptTokens = 64*len(ask.Blocks) + 20
	ask.AnswerTokens = int(math.Exp(3 + 3*m.random.Float64()))
	turns[at] = ask
	waiting := capacity.QueuedRequest{Request: &ask, Due: m.now.Add(time.Minute), Urgent: true}
	m.place(m.engines[choose(m, &waiting)], ask)
	return turns
}

func (m *model) place(e *modelEngine, ask capacity.Request) {
	m.router.Granted(m.now, e.state, &ask)
	cached := 64 * e.cache.Depth(ask.Blocks, 0)
	e.cache.Dispatched(m.now, ask.Blocks)
	m.wasted += float64(64*(len(ask.Blocks)) - cached)
	e.state.Requests++
	e.state.PrefillTokens += ask.PromptTokens
	e.state.AnswerTokens += ask.AnswerTokens
	start := m.now
	if e.prefillAt.After(start) {
		start = e.prefillAt
	}
	first := start.Add(duration(e.slowness * (0.02 + 60e-6*float64(ask.PromptTokens-cached))))
	e.prefillAt = first
	end := first.Add(duration(e.slowness * float64(ask.AnswerTokens) * (0.010 + 0.0008*float64(e.state.Requests))))
	m.running = append(m.running, modelRun{first, end, e, ask, capacity.Result{
		Dispatched: true, Complete: true, FirstToken: first.Sub(m.now), Total: end.Sub(m.now),
		PromptTokens: ask.PromptTokens, CachedTokens: cached, AnswerTokens: ask.AnswerTokens,
	}})
	m.totals = append(m.totals, end.Sub(m.now).Seconds())
}

// finish notices first tokens and ends up to now.
func (m *model) finish() {
	for i := range m.running {
		if r := &m.running[i]; !r.first.IsZero() && !r.first.After(m.now) {
			r.first = time.Time{}
			r.engine.state.PrefillTokens -= r.ask.PromptTokens
		}
	}
	m.running = slices.DeleteFunc(m.running, func(r modelRun) bool {
		if r.end.After(m.now) {
			return false
		}
		s := r.engine.state
		s.Requests--
		s.AnswerTokens -= r.ask.AnswerTokens
		m.router.Observe(r.end, s, &r.ask, r.result)
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
func roundRobin(m *model, _ *capacity.QueuedRequest) int { return m.count % len(m.engines) }

// least returns the engine for which value is least, a random one of several.
func least(m *model, value func(e *modelEngine) int) int {
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
	return least(m, func(e *modelEngine) int { return e.reported })
}

func leastOutstanding(m *model, _ *capacity.QueuedRequest) int {
	return least(m, func(e *modelEngine) int { return e.state.Requests })
}

func byRouter(m *model, w *capacity.QueuedRequest) int {
	at, _ := m.router.Choose(m.now, w, m.states)
	return at
}

// TestCompareWays holds the Router against plain ways of choosing on the same
// seeds, and against itself with parts left out.
func TestCompareWays(t *testing.T) {
	type result struct{ mean, p99, wasted float64 }
	play := func(choose chooseFunc, options Options) result {
		var all result
		const seeds = 3
		for seed := range uint64(seeds) {
			m := newModel(seed, options)
			m.run(choose, 14, 2*time.Minute)
			all.mean += m.mean() / seeds
			all.p99 += m.quantile(0.99) / seeds
			all.wasted += m.wasted / float64(len(m.totals)) / seeds
		}
		return all
	}
	results := make(map[string]result)
	for _, way := range []struct {
		name    string
		choose  chooseFunc
		options Options
	}{
		{"random", random, Options{}},
		{"round robin", roundRobin, Options{}},
		{"least reported load", leastReported, Options{}},
		{"least outstanding", leastOutstanding, Options{}},
		{"router", byRouter, Options{}},
		{"router, prefill weight 0", byRouter, Options{PrefillWeight: -1}},
		{"router, prefill weight 10", byRouter, Options{PrefillWeight: 10}},
		{"router, no prefixes", byRouter, Options{PrefixBlocks: 1}},
		{"router, no stragglers", byRouter, Options{StragglerRatio: 1e9}},
	} {
		r := play(way.choose, way.options)
		results[way.name] = r
		t.Logf("%-28s mean %6.2f s  p99 %7.2f s  prompt tokens computed %5.0f a request", way.name, r.mean, r.p99, r.wasted)
	}
	ours := results["router"]
	assert.Assert(t, ours.wasted < 0.5*results["router, no prefixes"].wasted)
	assert.Assert(t, ours.wasted < 0.8*results["router, prefill weight 0"].wasted)
	for _, name := range []string{"random", "round robin", "least reported load", "least outstanding"} {
		assert.Assert(t, ours.mean < 0.75*results[name].mean && ours.p99 < results[name].p99, name)
		assert.Assert(t, ours.wasted < 0.6*results[name].wasted, name)
	}
}
