package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// flightSlack is the number of grants noted beyond those that the owner counts,
// before the oldest notes are dropped.
const flightSlack = 16

// Endpoint is what has been learned of an endpoint. It hangs on the owner's
// EndpointState.
type Endpoint struct {
	// What each decision reads comes first, close together.
	generationName string
	hash           uint64
	generation     *Generation
	prefixes       *PrefixTable
	speed          Speed
	trust          CacheTrust
	suspects       int
	listed         bool // while the Router counts it
	// promptTokens and uncachedTokens sum the flights.
	promptTokens   float64
	uncachedTokens float64
	straggler      StragglerDetector
	ejector        Ejector
	heard          progress
	report         loadReport
	// load is its state when last seen, pools are those for which it was a candidate.
	load   seenLoad
	seenAt time.Time
	pools  []domain.PoolName

	id      domain.EndpointID
	profile Profile
	crash   crashEvent
	// eventSequence is that of the last cache event.
	eventSequence uint64
	flights       []flight
}

// crashEvent is the last crash; results that tell of it come one by one.
type crashEvent struct {
	at    time.Time
	alone bool
}

// seenLoad is the part of an endpoint's state that is remembered between calls.
type seenLoad struct {
	requests     int
	answerTokens int
	leaving      bool
}

// NewEndpoint returns an endpoint of which nothing is known but its generation.
func NewEndpoint(now time.Time, row *config.EndpointRow, generation *Generation, prefixBlocks int) *Endpoint {
	e := &Endpoint{
		id:       row.ID,
		hash:     xxhash.Sum64String(string(row.ID)),
		prefixes: NewPrefixTable(prefixBlocks, now),
		seenAt:   now,
	}
	e.join(row.Generation, generation)
	return e
}

// join makes the endpoint one of a generation, of which it has its speed.
func (e *Endpoint) join(name string, generation *Generation) {
	e.generationName, e.generation = name, generation
	e.straggler = StragglerDetector{}
	e.unlearn()
}

// unlearn forgets the endpoint's own speed.
func (e *Endpoint) unlearn() {
	e.profile = NewProfile(e.generation.Speed())
	e.speed = Speed{}
}

// learn takes a sample of the endpoint's own speed.
func (e *Endpoint) learn(s Sample, rate float64) {
	e.profile.Learn(s, rate, e.generation.Speed())
	e.speed = e.profile.Speed()
}

// Speed returns the endpoint's learned speed, its generation's until it has
// samples of its own.
func (e *Endpoint) Speed() *Speed {
	if e.speed == (Speed{}) {
		return &e.generation.profile.speed
	}
	return &e.speed
}

// look takes note of the owner's exact state.
func (e *Endpoint) look(now time.Time, state *capacity.EndpointState) {
	e.heard.look(now, state)
	e.load = seenLoad{requests: state.Requests, answerTokens: state.AnswerTokens, leaving: state.Leaving}
	e.seenAt = now
	if state.Requests > 0 && state.PrefillTokens == 0 {
		e.ejector.FirstTokenSeen(now)
	}
}

// serves notes that the endpoint was a candidate for the pool.
func (e *Endpoint) serves(pool domain.PoolName) {
	if !slices.Contains(e.pools, pool) {
		e.pools = append(e.pools, pool)
	}
}

// uncachedPart returns the part of the prompts held that is thought to need
// computing.
func (e *Endpoint) uncachedPart() float64 {
	if e.promptTokens <= 0 {
		return 1
	}
	return min(max(e.uncachedTokens/e.promptTokens, 0), 1)
}

// place notes a grant. Requests is the number that the owner counts.
func (e *Endpoint) place(f flight, requests int) {
	for len(e.flights) > requests+flightSlack {
		e.drop(0)
	}
	e.flights = append(e.flights, f)
	e.promptTokens += f.prompt
	e.uncachedTokens += f.uncached()
	if f.suspect {
		e.suspects++
	}
}

// take returns the note of a grant that has ended, and whether there is one.
func (e *Endpoint) take(fingerprint uint64) (flight, bool) {
	at := slices.IndexFunc(e.flights, func(f flight) bool { return f.fingerprint == fingerprint })
	if at < 0 {
		return flight{}, false
	}
	return e.drop(at), true
}

func (e *Endpoint) drop(at int) flight {
	f := e.flights[at]
	e.flights = slices.Delete(e.flights, at, at+1)
	e.promptTokens -= f.prompt
	e.uncachedTokens -= f.uncached()
	if f.suspect {
		e.suspects--
	}
	if len(e.flights) == 0 {
		e.promptTokens, e.uncachedTokens = 0, 0
	}
	return f
}
