package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// trackedGrantSlack is how many more grants are tracked than the owner counts before the oldest ones
// are dropped.
const trackedGrantSlack = 16

// Endpoint is the learned state of an endpoint. It is stored in capacity.EndpointState.ChooserState.
type Endpoint struct {
	// Fields read by every decision come first, for cache locality.
	generationName string
	hash           uint64
	generation     *Generation
	prefixes       *PrefixTable
	speed          Speed
	cacheTrust     CacheTrust
	suspectGrants  int
	listed         bool // true while the endpoint is in Router.endpoints
	// promptTokens and uncachedTokens are sums over grants.
	promptTokens   float64
	uncachedTokens float64
	straggler      StragglerDetector
	ejector        Ejector
	progress       prefillProgress
	report         loadReport
	// lastLoad is the load at lastSeen; pools are those for which the endpoint was a candidate.
	lastLoad loadSnapshot
	lastSeen time.Time
	pools    []domain.PoolName

	id      domain.EndpointID
	profile Profile
	crash   crashEvent
	// eventSequence is the sequence number of the last cache event.
	eventSequence uint64
	grants        []trackedGrant
}

// crashEvent is the last crash. The failed requests of one crash are reported one by one.
type crashEvent struct {
	at    time.Time
	alone bool
}

// loadSnapshot is the part of an endpoint's state that is kept between calls.
type loadSnapshot struct {
	requests     int
	answerTokens int
	leaving      bool
}

// NewEndpoint returns an endpoint without samples, which uses the speed of its generation.
func NewEndpoint(now time.Time, row *config.EndpointRow, generation *Generation, prefixBlocks int) *Endpoint {
	e := &Endpoint{
		id:       row.ID,
		hash:     xxhash.Sum64String(string(row.ID)),
		prefixes: NewPrefixTable(prefixBlocks, now),
		lastSeen: now,
	}
	e.setGeneration(row.Generation, generation)
	return e
}

// setGeneration assigns the endpoint to a hardware generation and discards the samples of its
// speed and of the straggler detection.
func (e *Endpoint) setGeneration(name string, generation *Generation) {
	e.generationName, e.generation = name, generation
	e.straggler = StragglerDetector{}
	e.resetSpeed()
}

// resetSpeed discards the endpoint's own speed samples.
func (e *Endpoint) resetSpeed() {
	e.profile = NewProfile(e.generation.Speed())
	e.speed = Speed{}
}

// learnSample adds a sample to the endpoint's own speed profile.
func (e *Endpoint) learnSample(s Sample, rate float64) {
	e.profile.Learn(s, rate, e.generation.Speed())
	e.speed = e.profile.Speed()
}

// Speed returns the endpoint's learned speed, or that of its generation while it has no samples of its
// own.
func (e *Endpoint) Speed() *Speed {
	if e.speed == (Speed{}) {
		return &e.generation.profile.speed
	}
	return &e.speed
}

// updateState records the exact state kept by the owner.
func (e *Endpoint) updateState(now time.Time, state *capacity.EndpointState) {
	e.progress.update(now, state)
	e.lastLoad = loadSnapshot{requests: state.Requests, answerTokens: state.AnswerTokens, leaving: state.Leaving}
	e.lastSeen = now
	if state.Requests > 0 && state.PrefillTokens == 0 {
		e.ejector.FirstTokenSeen(now)
	}
}

// addPool records that the endpoint was a candidate for the pool.
func (e *Endpoint) addPool(pool domain.PoolName) {
	if !slices.Contains(e.pools, pool) {
		e.pools = append(e.pools, pool)
	}
}

// uncachedFraction returns the fraction of the prompt tokens held that are expected to need prefill.
func (e *Endpoint) uncachedFraction() float64 {
	if e.promptTokens <= 0 {
		return 1
	}
	return min(max(e.uncachedTokens/e.promptTokens, 0), 1)
}

// addGrant tracks a grant. requests is the number of grants that the owner counts at the endpoint.
func (e *Endpoint) addGrant(grant trackedGrant, requests int) {
	for len(e.grants) > requests+trackedGrantSlack {
		e.removeGrantAt(0)
	}
	e.grants = append(e.grants, grant)
	e.promptTokens += grant.prompt
	e.uncachedTokens += grant.uncached()
	if grant.suspect {
		e.suspectGrants++
	}
}

// removeGrant stops tracking a grant that has ended. It returns false if the grant was not tracked.
func (e *Endpoint) removeGrant(fingerprint uint64) (trackedGrant, bool) {
	at := slices.IndexFunc(e.grants, func(grant trackedGrant) bool { return grant.fingerprint == fingerprint })
	if at < 0 {
		return trackedGrant{}, false
	}
	return e.removeGrantAt(at), true
}

func (e *Endpoint) removeGrantAt(at int) trackedGrant {
	grant := e.grants[at]
	e.grants = slices.Delete(e.grants, at, at+1)
	e.promptTokens -= grant.prompt
	e.uncachedTokens -= grant.uncached()
	if grant.suspect {
		e.suspectGrants--
	}
	if len(e.grants) == 0 {
		e.promptTokens, e.uncachedTokens = 0, 0
	}
	return grant
}
