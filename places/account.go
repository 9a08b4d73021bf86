package places

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/routing"
)

// account is what a node counts of one endpoint: its own requests exactly, the others' as they last reported.
type account struct {
	endpoint *directory.Endpoint
	log      zerolog.Logger
	state    capacity.EndpointState
	own      load
	others   load
	pace     pace
	// failedAt is when the endpoint last failed this node, zero if it has served since. servedAt is when it last did.
	// shunUntil is until when it is passed over because it failed another node.
	failedAt  time.Time
	servedAt  time.Time
	shunUntil time.Time
	// replacedAt is when another life of the endpoint answered at its address, zero if none has.
	replacedAt time.Time
	// givenBack is true while a place that this node gave back is handed to its own waiters.
	givenBack bool
	// isMine is whether the endpoint is of this node's part, worked out for partOf nodes of the data centre.
	isMine bool
	partOf int
}

func newAccount(e *directory.Endpoint, log zerolog.Logger) *account {
	a := &account{log: log}
	a.describe(e)
	return a
}

// describe takes over what the directory says.
func (a *account) describe(e *directory.Endpoint) {
	if a.endpoint == e {
		return
	}
	a.endpoint = e
	a.state.ID = e.Incarnation()
	a.state.Row = &config.EndpointRow{
		ID: e.Incarnation(), DataCentre: e.DataCentre, Address: e.Address, Generation: e.Service, Weight: fullWeight, Limit: e.Slots,
	}
	a.state.Limit = e.Slots
	a.state.Leaving = e.Leaving
}

// fullWeight is the weight of an endpoint that takes all the work it can.
const fullWeight = 100

// refresh brings the router's view up to date.
func (a *account) refresh() {
	s := &a.state
	s.Requests = a.own.requests + a.others.requests
	s.PrefillTokens = a.own.prefillTokens + a.others.prefillTokens
	s.PromptTokens = a.own.promptTokens + a.others.promptTokens
	s.AnswerTokens = a.own.answerTokens + a.others.answerTokens
	s.ReservedTokens = s.PromptTokens + s.AnswerTokens
}

// free returns the number of places that nobody holds.
func (a *account) free() int { return max(a.endpoint.Slots-a.own.requests-a.others.requests, 0) }

// room is what a node may take of an endpoint.
type room struct {
	// beyond allows a request beyond the endpoint's places.
	beyond bool
	// reserve is the part of the places that must stay free, foreign that at endpoints of the other nodes' part.
	reserve float64
	foreign float64
	// demand is the part left free for requests of higher tiers.
	demand float64
	// rounds is how many requests an endpoint may have for each of its places; one or more.
	rounds float64
	// tokens is what the request needs of an endpoint's memory, cache all that there is of it; zero if not known.
	tokens int
	cache  int
}

// hasRoom reports whether this node may send one request more: if a place is free beyond the reserve, or if requests may
// go beyond the places and they are not much exceeded yet.
func (a *account) hasRoom(r room, mine bool) bool {
	reserve := r.reserve
	if !mine && !a.givenBack {
		reserve = max(reserve, r.foreign)
	}
	if !a.holds(r) {
		return false
	}
	outstanding, slots := float64(a.own.requests+a.others.requests), float64(a.endpoint.Slots)
	switch {
	case r.rounds > 1:
		return outstanding < r.rounds*slots
	case r.beyond:
		return outstanding < overfill*slots
	}
	return outstanding < slots-max(reservedPlaces(reserve, slots), math.Round(r.demand*slots))
}

// holds reports whether the endpoint's memory holds the request beside what is outstanding there: an engine whose memory
// runs out breaks the newest request off and reads it again from the start. An empty endpoint may be tried in any case.
func (a *account) holds(r room) bool {
	return r.cache <= 0 || a.state.Requests == 0 || a.state.ReservedTokens+r.tokens <= r.cache
}

// reservedPlaces is the number of places that a reserve keeps free: at least one, if there are several.
func reservedPlaces(reserve, slots float64) float64 {
	if reserve <= 0 || slots <= 1 {
		return 0
	}
	return max(reserve*slots, 1)
}

// near reports whether the endpoint goes before those of other data centres: it stands in the node's own and is not nearly
// full.
func (a *account) near(o Options) bool {
	return a.endpoint.DataCentre == o.DataCentre && float64(a.state.Requests) < localFill*float64(a.endpoint.Slots)
}

// mine reports whether the endpoint belongs to the node's part: in a data centre with more than sharers nodes, about so
// many share each of its endpoints, and none those of others.
func (a *account) mine(o Options, fleet gossip.Fleet) bool {
	if a.partOf != fleet.Near {
		a.partOf, a.isMine = fleet.Near, a.inPart(o, fleet.Near)
	}
	return a.isMine
}

func (a *account) inPart(o Options, near int) bool {
	if a.endpoint.DataCentre != o.DataCentre {
		return false
	}
	const buckets = 1 << 16
	hash := xxhash.Sum64String(string(o.Node) + "/" + string(a.endpoint.ID))
	return hash%buckets < uint64(buckets*sharers/max(near, 1))
}

// learn notes how a request of this node's ended.
func (a *account) learn(now time.Time, result capacity.Result) {
	switch {
	case result.Replaced:
		if !a.replaced(now) {
			a.note("endpoint was replaced by another life, passed over")
		}
		a.replacedAt = now
	case result.Unreachable:
		if a.failedAt.IsZero() {
			a.note("endpoint failed, passed over")
		}
		a.failedAt = now
	case result.Complete || result.FirstToken > 0:
		a.serves(now)
	}
}

// serves notes that the endpoint does what it is asked to.
func (a *account) serves(now time.Time) {
	if !a.failedAt.IsZero() {
		a.note("endpoint serves again")
	}
	a.servedAt = now
	a.failedAt, a.shunUntil = time.Time{}, time.Time{}
}

// note logs what is believed of the endpoint from now on, and on what ground.
func (a *account) note(belief string) {
	a.log.Info().Str("endpoint", string(a.id())).Str("service", a.endpoint.Service).Time("failed_at", a.failedAt).
		Time("served_at", a.servedAt).Int("own_requests", a.own.requests).Int("others_requests", a.others.requests).Msg(belief)
}

// shun passes the endpoint over for a while, since it failed another node. Not if it has just served this one: the other
// node may be cut off from it.
func (a *account) shun(now time.Time) {
	if now.Sub(a.servedAt) <= ownWord {
		return
	}
	if now.After(a.shunUntil) {
		a.note("endpoint failed another node, passed over")
	}
	a.shunUntil = now.Add(shunFor)
}

// inService reports whether nothing is known against the endpoint.
func (a *account) inService(now time.Time, router *routing.Router) bool {
	if !now.After(a.shunUntil) || a.replaced(now) {
		return false
	}
	return a.failedAt.IsZero() || router.InService(now, a.id())
}

// replaced reports whether the endpoint's life is over, though the directory still lists it.
func (a *account) replaced(now time.Time) bool {
	return !a.replacedAt.IsZero() && now.Sub(a.replacedAt) < replacedFor
}

// trouble reports whether the other nodes are to be told that the endpoint failed this one.
func (a *account) trouble(now time.Time) bool {
	return now.Sub(a.failedAt) < tellFailure || a.replaced(now)
}

// id returns the incarnation's name.
func (a *account) id() domain.EndpointID { return a.state.ID }
