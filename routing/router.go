package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Router is the capacity.Chooser of a pool group. It is safe for concurrent use,
// so that its state can be dumped while it decides.
type Router struct {
	options  Options
	pipeline Pipeline
	counters counters

	mu          sync.Mutex
	endpoints   map[domain.EndpointID]*Endpoint
	generations map[string]*Generation
	sessions    *simplelru.LRU[uint64, SessionPlace]
	forgotAt    time.Time

	// turn spreads asks that have no affinity.
	turn uint64
	// current, scratch and fullScratch are used again by each decision.
	current     Request
	scratch     []Candidate
	fullScratch []*Endpoint
}

var (
	_ capacity.Chooser        = (*Router)(nil)
	_ capacity.ReportReceiver = (*Router)(nil)
)

// NewRouter returns a Router that has learned nothing.
func NewRouter(options Options) *Router {
	o := options.WithDefaults()
	sessions, err := simplelru.NewLRU[uint64, SessionPlace](max(o.Sessions, 1), nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &Router{
		options:     o,
		pipeline:    NewPipeline(o),
		counters:    newCounters(o.Metrics),
		endpoints:   make(map[domain.EndpointID]*Endpoint),
		generations: make(map[string]*Generation),
		sessions:    sessions,
	}
}

// Admit refuses content in quarantine.
func (rt *Router) Admit(_ time.Time, ask *capacity.Request) error {
	left := rt.options.Quarantine.Quarantined(ask.Fingerprint)
	if left <= 0 {
		return nil
	}
	rt.counters.quarantined.Inc()
	return &capacity.Refusal{Err: capacity.ErrQuarantined, RetryAfter: left}
}

// InService reports whether an endpoint would pass the filter of those that failed: it has not, or its time out of
// service is over and no other request is trying it.
func (rt *Router) InService(now time.Time, id domain.EndpointID) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e, ok := rt.endpoints[id]
	if !ok {
		return true
	}
	filter := EjectedFilter{ProbeTimeout: rt.options.ProbeTimeout}
	return filter.Keep(&Request{Now: now}, &Candidate{Learned: e})
}

// Choose implements capacity.Chooser.
func (rt *Router) Choose(now time.Time, waiting *capacity.QueuedRequest, states []*capacity.EndpointState) (int, bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.counters.decisions.Inc()
	r := rt.request(now, waiting)
	candidates := rt.pipeline.Filter(r, rt.candidates(now, states, waiting.Request.Pool))
	if len(candidates) == 0 {
		return rt.chooseFiltered(r, waiting, states)
	}
	best := rt.pipeline.Choose(r, candidates)
	if !waiting.Urgent && rt.betterLater(r, best, candidates) {
		rt.counters.held.Inc()
		return 0, false
	}
	return best.index, true
}

// chooseFiltered decides when the filters keep nothing: the ask waits, unless it
// would be refused for that.
func (rt *Router) chooseFiltered(r *Request, waiting *capacity.QueuedRequest, states []*capacity.EndpointState) (int, bool) {
	rt.counters.filtered.Inc()
	if !waiting.Urgent {
		return 0, false
	}
	return rt.pipeline.Choose(r, rt.candidates(r.Now, states, r.Ask.Pool)).index, true
}

// betterLater decides about holding the ask back.
func (rt *Router) betterLater(r *Request, best *Candidate, candidates []Candidate) bool {
	if rt.options.HoldRatio < 1 {
		return false
	}
	return holdBack(r, best, rt.full(r, candidates), rt.options.HoldRatio)
}

// Granted implements capacity.Chooser.
func (rt *Router) Granted(now time.Time, state *capacity.EndpointState, ask *capacity.Request) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	e.look(now, state)
	r := rt.request(now, &capacity.QueuedRequest{Request: ask})
	c := rt.estimate(r, state, e)
	rt.count(ask, c)
	rt.note(r, c)
	e.prefixes.Dispatched(now, ask.Blocks)
	rt.remember(now, state.ID, ask)
}

// note keeps what must be known of the grant when it ends.
func (rt *Router) note(r *Request, c *Candidate) {
	e := c.Learned
	if r.Ask.Fingerprint == 0 {
		rt.markProbe(r, e)
		return
	}
	e.place(flight{
		fingerprint: r.Ask.Fingerprint,
		placed:      r.Now,
		work:        c.Estimate.Work,
		batch:       float64(c.State.Requests + 1),
		prompt:      float64(r.Ask.PromptTokens),
		cached:      c.Estimate.CachedTokens,
		probe:       rt.markProbe(r, e),
		suspect:     r.Suspect,
	}, c.State.Requests)
}

// markProbe notes a request that tries a failed or slow endpoint.
func (rt *Router) markProbe(r *Request, e *Endpoint) bool {
	now := r.Now
	probe := false
	if e.ejector.Health(now) != HealthInService {
		e.ejector.Probe(now, r.Ask.PromptTokens > 0)
		probe = true
	}
	if e.straggler.Slow(rt.options.StragglerRatio) && e.straggler.ProbeDue(now, rt.options.ProbeEvery) {
		e.straggler.Probe(now)
		probe = true
	}
	if probe {
		rt.counters.probes.Inc()
	}
	return probe
}

func (rt *Router) count(ask *capacity.Request, c *Candidate) {
	rt.counters.prompt.Add(ask.PromptTokens)
	rt.counters.predicted.Add(int(c.Estimate.CachedTokens))
}

// remember notes where the session went.
func (rt *Router) remember(now time.Time, id domain.EndpointID, ask *capacity.Request) {
	if ask.Session == "" {
		return
	}
	rt.sessions.Add(xxhash.Sum64String(ask.Session), SessionPlace{
		Endpoint: id,
		Tokens:   ask.PromptTokens + ask.AnswerTokens,
		At:       now,
	})
}

// Forecast implements capacity.Chooser. It knows nothing of an endpoint as long as
// there are few samples of it and of its generation.
func (rt *Router) Forecast(now time.Time, state *capacity.EndpointState, ask *capacity.Request) capacity.Forecast {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	if max(e.profile.Samples(), e.generation.profile.Samples()) < rt.options.ForecastSamples {
		return capacity.Forecast{}
	}
	r := rt.request(now, &capacity.QueuedRequest{Request: ask})
	c := rt.estimate(r, state, e)
	return capacity.Forecast{
		FirstToken: duration(c.Estimate.FirstToken),
		Total:      duration(c.Estimate.Total),
		Prefill:    duration(c.Estimate.Work * e.Speed().First.Slope),
	}
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// estimate scores one endpoint by itself.
func (rt *Router) estimate(r *Request, state *capacity.EndpointState, e *Endpoint) *Candidate {
	rt.scratch = append(rt.scratch[:0], Candidate{State: state, Learned: e})
	rt.pipeline.Score(r, rt.scratch)
	return &rt.scratch[0]
}

// request makes what the steps see of an ask.
func (rt *Router) request(now time.Time, waiting *capacity.QueuedRequest) *Request {
	ask := waiting.Request
	rt.current = Request{
		Now:      now,
		Ask:      ask,
		Due:      waiting.Due,
		Suspect:  rt.options.Quarantine.Suspect(ask.Fingerprint),
		Affinity: rt.affinity(ask),
	}
	if ask.Session != "" {
		rt.current.Session, _ = rt.sessions.Peek(xxhash.Sum64String(ask.Session))
	}
	return &rt.current
}

// affinity returns the hash by which ties are broken: that of the session, or of the
// first prompt block; asks that have neither take turns.
func (rt *Router) affinity(ask *capacity.Request) uint64 {
	switch {
	case ask.Session != "":
		return xxhash.Sum64String(ask.Session)
	case len(ask.Blocks) > 0:
		return ask.Blocks[0]
	default:
		rt.turn++
		return mix(rt.turn)
	}
}

// candidates fills the scratch list.
func (rt *Router) candidates(now time.Time, states []*capacity.EndpointState, pool domain.PoolName) []Candidate {
	rt.scratch = slices.Grow(rt.scratch[:0], len(states))[:len(states)]
	for i, state := range states {
		e := rt.endpoint(now, state)
		e.look(now, state)
		e.serves(pool)
		c := &rt.scratch[i]
		c.State, c.Learned, c.index = state, e, i
		c.Estimate = Estimate{}
	}
	return rt.scratch
}

// endpoint returns what has been learned of an endpoint, making it at first.
func (rt *Router) endpoint(now time.Time, state *capacity.EndpointState) *Endpoint {
	e, ok := state.ChooserState.(*Endpoint)
	if !ok {
		e = NewEndpoint(now, state.Row, rt.generation(state.Row.Generation), rt.options.PrefixBlocks)
		state.ChooserState = e
	}
	if name := state.Row.Generation; e.generationName != name {
		e.join(name, rt.generation(name))
	}
	if !e.listed {
		e.listed = true
		rt.endpoints[state.ID] = e
	}
	return e
}

func (rt *Router) generation(name string) *Generation {
	g, ok := rt.generations[name]
	if !ok {
		prior, known := rt.options.Priors[name]
		if !known {
			prior = rt.options.Prior
		}
		g = NewGeneration(prior)
		rt.generations[name] = g
	}
	return g
}
