package capacity

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// fullWeight is the weight of an endpoint that is used up to its configured limits.
const fullWeight = 100

// ownedEndpoint is an endpoint at its owner.
type ownedEndpoint struct {
	state EndpointState
	pools []*pool
	// tiers holds the grants by tier, the highest first.
	tiers []*tierGrants
	// leavingBy holds the nodes that have marked the endpoint as leaving, with the
	// times at which their marks expire.
	leavingBy map[domain.NodeID]time.Time
	// removed is true if the endpoint is no longer in the configuration.
	removed bool
	// inService and available are the values contained in the counters of its pools.
	inService bool
	available bool
	// reservedRound is the scheduling round in which the endpoint is reserved for one
	// request.
	reservedRound uint64
}

// tierGrants are the grants of one tier, oldest first.
type tierGrants struct {
	rank   domain.Tier
	grants []*grant
	// revocable counts the grants that are not revoked.
	revocable int
}

func newOwnedEndpoint(row *config.EndpointRow) *ownedEndpoint {
	return &ownedEndpoint{state: EndpointState{ID: row.ID, Row: row}}
}

// configure applies a configuration row.
func (p *ownedEndpoint) configure(row *config.EndpointRow) {
	p.state.Row = row
	p.state.Limit = scaled(row.Limit, row.Weight)
	p.state.TokenLimit = scaled(row.TokenLimit, row.Weight)
	p.removed = false
}

// scaled returns the part of a limit that the weight allows, at least 1 if limit and
// weight are above 0.
func scaled(limit, weight int) int {
	if limit <= 0 || weight <= 0 {
		return 0
	}
	return max(limit*min(weight, fullWeight)/fullWeight, 1)
}

// refresh updates leaving, inService and available, and the pools' counters.
func (p *ownedEndpoint) refresh() {
	p.state.Leaving = p.removed || p.state.Row.Drain || len(p.leavingBy) > 0
	serving := !p.state.Leaving && p.state.Limit > 0
	open := serving && p.state.Requests < p.state.Limit
	for _, pool := range p.pools {
		pool.inService += countDelta(p.inService, serving)
		pool.available += countDelta(p.available, open)
	}
	p.inService, p.available = serving, open
}

// countDelta returns the change to a counter of true values.
func countDelta(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	default:
		return 0
	}
}

// fits reports whether the tokens are free. A request larger than the limit fits an
// empty endpoint.
func (p *ownedEndpoint) fits(tokens int) bool {
	s := &p.state
	return s.TokenLimit == 0 || s.ReservedTokens+tokens <= s.TokenLimit || s.Requests == 0
}

func (p *ownedEndpoint) add(g *grant) {
	t := p.tier(g.request.Tier)
	t.grants = append(t.grants, g)
	t.revocable++
	p.state.Requests++
	p.addTokens(g, 1)
	p.countGranted(1)
	p.refresh()
}

func (p *ownedEndpoint) remove(g *grant) {
	t := p.tier(g.request.Tier)
	at := slices.Index(t.grants, g)
	t.grants = slices.Delete(t.grants, at, at+1)
	if !g.revoked() {
		t.revocable--
	}
	p.state.Requests--
	p.addTokens(g, -1)
	p.countGranted(-1)
	p.refresh()
}

func (p *ownedEndpoint) countGranted(sign int) {
	for _, pool := range p.pools {
		pool.granted += sign
	}
}

// addTokens adds the grant's tokens for sign 1 and subtracts them for -1.
func (p *ownedEndpoint) addTokens(g *grant, sign int) {
	p.state.ReservedTokens += sign * g.tokens()
	p.state.PromptTokens += sign * g.request.PromptTokens
	p.state.AnswerTokens += sign * g.remaining()
	p.state.PrefillTokens += sign * g.pendingPrefill()
}

// setProgress records a grant's progress, which never decreases.
func (p *ownedEndpoint) setProgress(g *grant, code progressCode) {
	p.addTokens(g, -1)
	g.progress = max(g.progress, code)
	g.request.AnswerTokens = max(g.request.AnswerTokens, g.progress.tokens())
	p.addTokens(g, 1)
}

// revoke marks the grant as revoked.
func (p *ownedEndpoint) revoke(g *grant, now time.Time) {
	g.revokedAt, g.notifiedAt = now, now
	p.tier(g.request.Tier).revocable--
}

func (p *ownedEndpoint) tier(rank domain.Tier) *tierGrants {
	at, ok := slices.BinarySearchFunc(p.tiers, rank, func(t *tierGrants, r domain.Tier) int {
		return int(t.rank) - int(r)
	})
	if !ok {
		p.tiers = slices.Insert(p.tiers, at, &tierGrants{rank: rank})
	}
	return p.tiers[at]
}

// lowestRevocable returns the lowest tier that has a grant to revoke.
func (p *ownedEndpoint) lowestRevocable() (domain.Tier, bool) {
	for _, t := range slices.Backward(p.tiers) {
		if t.revocable > 0 {
			return t.rank, true
		}
	}
	return 0, false
}
