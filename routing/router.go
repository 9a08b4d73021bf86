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

// Router is the capacity.Chooser of a pool group. It is safe for concurrent use, so that its state can
// be dumped while it is in use.
type Router struct {
	options  Options
	pipeline Pipeline
	counters counters

	mu          sync.Mutex
	endpoints   map[domain.EndpointID]*Endpoint
	generations map[string]*Generation
	sessions    *simplelru.LRU[uint64, SessionLocation]
	prunedAt    time.Time

	// affinityCounter distributes requests without affinity.
	affinityCounter uint64
	// requestScratch, candidateScratch and fullScratch are reused by each decision to avoid
	// allocations.
	requestScratch   Request
	candidateScratch []Candidate
	fullScratch      []*Endpoint
}

var (
	_ capacity.Chooser        = (*Router)(nil)
	_ capacity.ReportReceiver = (*Router)(nil)
)

// NewRouter returns a Router without learned state.
func NewRouter(options Options) *Router {
	o := options.WithDefaults()
	sessions, err := simplelru.NewLRU[uint64, SessionLocation](max(o.MaxSessions, 1), nil)
	if err != nil {
		panic(err) // NewLRU fails only for sizes below 1.
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

// Admit implements capacity.Chooser. It refuses quarantined contents.
func (rt *Router) Admit(_ time.Time, request *capacity.Request) error {
	remaining := rt.options.Quarantine.Quarantined(request.Fingerprint)
	if remaining <= 0 {
		return nil
	}
	rt.counters.quarantined.Inc()
	return &capacity.Refusal{Err: capacity.ErrQuarantined, RetryAfter: remaining}
}

// InService reports whether the endpoint would pass the EjectedFilter: it has not failed, or its
// ejection has ended and no probe is outstanding.
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
	r := rt.newRequest(now, waiting)
	candidates := rt.pipeline.Filter(r, rt.candidates(now, states, waiting.Request.Pool))
	if len(candidates) == 0 {
		return rt.chooseWithoutCandidates(r, waiting, states)
	}
	best := rt.pipeline.Choose(r, candidates)
	if !waiting.Urgent && rt.shouldHoldBack(r, best, candidates) {
		rt.counters.heldBack.Inc()
		return 0, false
	}
	return best.index, true
}

// chooseWithoutCandidates decides when no candidate passes the filters: the request waits, unless it
// would be refused for waiting; then it takes the best unfiltered candidate.
func (rt *Router) chooseWithoutCandidates(r *Request, waiting *capacity.QueuedRequest, states []*capacity.EndpointState) (int, bool) {
	rt.counters.noCandidate.Inc()
	if !waiting.Urgent {
		return 0, false
	}
	return rt.pipeline.Choose(r, rt.candidates(r.Now, states, r.Request.Pool)).index, true
}

// shouldHoldBack reports whether the request should wait for an endpoint that is currently full.
func (rt *Router) shouldHoldBack(r *Request, best *Candidate, candidates []Candidate) bool {
	if rt.options.HoldRatio < 1 {
		return false
	}
	return fasterAfterWait(r, best, rt.fullEndpoints(r, candidates), rt.options.HoldRatio)
}

// Granted implements capacity.Chooser.
func (rt *Router) Granted(now time.Time, state *capacity.EndpointState, request *capacity.Request) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	e.updateState(now, state)
	r := rt.newRequest(now, &capacity.QueuedRequest{Request: request})
	c := rt.estimate(r, state, e)
	rt.countTokens(request, c)
	rt.trackGrant(r, c)
	e.prefixes.Dispatched(now, request.Blocks)
	rt.recordSession(now, state.ID, request)
}

// trackGrant records what is needed to evaluate the grant when it ends.
func (rt *Router) trackGrant(r *Request, c *Candidate) {
	e := c.Learned
	if r.Request.Fingerprint == 0 {
		rt.markProbe(r, e)
		return
	}
	e.addGrant(trackedGrant{
		fingerprint: r.Request.Fingerprint,
		placed:      r.Now,
		work:        c.Estimate.Work,
		batch:       float64(c.State.Requests + 1),
		prompt:      float64(r.Request.PromptTokens),
		cached:      c.Estimate.CachedTokens,
		probe:       rt.markProbe(r, e),
		suspect:     r.Suspect,
	}, c.State.Requests)
}

// markProbe records a request that probes a failed endpoint or a straggler.
func (rt *Router) markProbe(r *Request, e *Endpoint) bool {
	now := r.Now
	probe := false
	if e.ejector.Health(now) != HealthInService {
		e.ejector.StartProbe(now, r.Request.PromptTokens > 0)
		probe = true
	}
	if e.straggler.IsStraggler(rt.options.StragglerRatio) && e.straggler.ProbeDue(now, rt.options.ProbeInterval) {
		e.straggler.MarkProbe(now)
		probe = true
	}
	if probe {
		rt.counters.probes.Inc()
	}
	return probe
}

func (rt *Router) countTokens(request *capacity.Request, c *Candidate) {
	rt.counters.promptTokens.Add(request.PromptTokens)
	rt.counters.predictedCachedTokens.Add(int(c.Estimate.CachedTokens))
}

// recordSession records the endpoint of the session's last turn.
func (rt *Router) recordSession(now time.Time, id domain.EndpointID, request *capacity.Request) {
	if request.Session == "" {
		return
	}
	rt.sessions.Add(xxhash.Sum64String(request.Session), SessionLocation{
		Endpoint: id,
		Tokens:   request.PromptTokens + request.AnswerTokens,
		PlacedAt: now,
	})
}

// Forecast implements capacity.Chooser. It returns a zero Forecast while both the endpoint and its
// generation have few samples.
func (rt *Router) Forecast(now time.Time, state *capacity.EndpointState, request *capacity.Request) capacity.Forecast {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	if max(e.profile.Samples(), e.generation.profile.Samples()) < rt.options.MinForecastSamples {
		return capacity.Forecast{}
	}
	r := rt.newRequest(now, &capacity.QueuedRequest{Request: request})
	c := rt.estimate(r, state, e)
	return capacity.Forecast{
		FirstToken: durationFromSeconds(c.Estimate.FirstToken),
		Total:      durationFromSeconds(c.Estimate.Total),
		Prefill:    durationFromSeconds(c.Estimate.Work * e.Speed().FirstToken.Slope),
	}
}

func durationFromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// estimate scores a single endpoint.
func (rt *Router) estimate(r *Request, state *capacity.EndpointState, e *Endpoint) *Candidate {
	rt.candidateScratch = append(rt.candidateScratch[:0], Candidate{State: state, Learned: e})
	rt.pipeline.Score(r, rt.candidateScratch)
	return &rt.candidateScratch[0]
}

// newRequest returns the pipeline input for a queued request.
func (rt *Router) newRequest(now time.Time, waiting *capacity.QueuedRequest) *Request {
	request := waiting.Request
	rt.requestScratch = Request{
		Now:      now,
		Request:  request,
		Due:      waiting.Due,
		Suspect:  rt.options.Quarantine.Suspect(request.Fingerprint),
		Affinity: rt.affinity(request),
	}
	if request.Session != "" {
		rt.requestScratch.Session, _ = rt.sessions.Peek(xxhash.Sum64String(request.Session))
	}
	return &rt.requestScratch
}

// affinity returns the hash used to break ties: that of the session or of the first prompt block.
// Requests with neither are distributed by a counter.
func (rt *Router) affinity(request *capacity.Request) uint64 {
	switch {
	case request.Session != "":
		return xxhash.Sum64String(request.Session)
	case len(request.Blocks) > 0:
		return request.Blocks[0]
	default:
		rt.affinityCounter++
		return mix(rt.affinityCounter)
	}
}

// candidates fills candidateScratch with the offered endpoints.
func (rt *Router) candidates(now time.Time, states []*capacity.EndpointState, pool domain.PoolName) []Candidate {
	rt.candidateScratch = slices.Grow(rt.candidateScratch[:0], len(states))[:len(states)]
	for i, state := range states {
		e := rt.endpoint(now, state)
		e.updateState(now, state)
		e.addPool(pool)
		c := &rt.candidateScratch[i]
		c.State, c.Learned, c.index = state, e, i
		c.Estimate = Estimate{}
	}
	return rt.candidateScratch
}

// endpoint returns the learned state of an endpoint, creating it on first use.
func (rt *Router) endpoint(now time.Time, state *capacity.EndpointState) *Endpoint {
	e, ok := state.ChooserState.(*Endpoint)
	if !ok {
		e = NewEndpoint(now, state.Row, rt.generation(state.Row.Generation), rt.options.PrefixBlocks)
		state.ChooserState = e
	}
	if name := state.Row.Generation; e.generationName != name {
		e.setGeneration(name, rt.generation(name))
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
