package capacity

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// fullWeight is the weight of an endpoint that is given all its limits allow.
const fullWeight = 100

// place is an endpoint at its owner.
type place struct {
	state EndpointState
	pools []*pool
	// tiers holds the grants by tier, the highest first.
	tiers []*tierGrants
	// leavingBy tells which nodes say that it is leaving, and until when their
	// word counts.
	leavingBy map[domain.NodeID]time.Time
	// removed is true if it is no longer in the configuration.
	removed bool
	// serving and open are what the counters of its pools contain.
	serving bool
	open    bool
	// reservedRound is the search in which it is kept for one ask.
	reservedRound uint64
}

// tierGrants are the grants of one tier, in order of time.
type tierGrants struct {
	rank   domain.Tier
	grants []*grant
	// revocable counts those that are not revoked.
	revocable int
}

func newPlace(row *config.EndpointRow) *place {
	return &place{state: EndpointState{ID: row.ID, Row: row}}
}

// configure takes the row in force.
func (p *place) configure(row *config.EndpointRow) {
	p.state.Row = row
	p.state.Limit = scaled(row.Limit, row.Weight)
	p.state.TokenLimit = scaled(row.TokenLimit, row.Weight)
	p.removed = false
}

// scaled returns the part of a limit that the weight allows, at least 1 of a
// limit and a weight above 0.
func scaled(limit, weight int) int {
	if limit <= 0 || weight <= 0 {
		return 0
	}
	return max(limit*min(weight, fullWeight)/fullWeight, 1)
}

// refresh brings leaving, serving and open up to date, and the pools' counters.
func (p *place) refresh() {
	p.state.Leaving = p.removed || p.state.Row.Drain || len(p.leavingBy) > 0
	serving := !p.state.Leaving && p.state.Limit > 0
	open := serving && p.state.Requests < p.state.Limit
	for _, pool := range p.pools {
		pool.inService += change(p.serving, serving)
		pool.open += change(p.open, open)
	}
	p.serving, p.open = serving, open
}

// change returns the difference to a counter of true values.
func change(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	default:
		return 0
	}
}

// fits reports whether the tokens are free. An ask greater than the limit fits
// an empty endpoint.
func (p *place) fits(tokens int) bool {
	s := &p.state
	return s.TokenLimit == 0 || s.ReservedTokens+tokens <= s.TokenLimit || s.Requests == 0
}

func (p *place) add(g *grant) {
	t := p.tier(g.ask.Tier)
	t.grants = append(t.grants, g)
	t.revocable++
	p.state.Requests++
	p.account(g, 1)
	p.countGranted(1)
	p.refresh()
}

func (p *place) remove(g *grant) {
	t := p.tier(g.ask.Tier)
	at := slices.Index(t.grants, g)
	t.grants = slices.Delete(t.grants, at, at+1)
	if !g.revoked() {
		t.revocable--
	}
	p.state.Requests--
	p.account(g, -1)
	p.countGranted(-1)
	p.refresh()
}

func (p *place) countGranted(sign int) {
	for _, pool := range p.pools {
		pool.granted += sign
	}
}

// account adds the grant's tokens, or takes them away.
func (p *place) account(g *grant, sign int) {
	p.state.ReservedTokens += sign * g.tokens()
	p.state.PromptTokens += sign * g.ask.PromptTokens
	p.state.AnswerTokens += sign * g.remaining()
	p.state.PrefillTokens += sign * g.prefilling()
}

// progress takes a grant's new progress.
func (p *place) progress(g *grant, code progressCode) {
	p.account(g, -1)
	g.progress = max(g.progress, code)
	g.ask.AnswerTokens = max(g.ask.AnswerTokens, g.progress.tokens())
	p.account(g, 1)
}

// revoke marks the grant.
func (p *place) revoke(g *grant, now time.Time) {
	g.revokedAt, g.notifiedAt = now, now
	p.tier(g.ask.Tier).revocable--
}

func (p *place) tier(rank domain.Tier) *tierGrants {
	at, ok := slices.BinarySearchFunc(p.tiers, rank, func(t *tierGrants, r domain.Tier) int {
		return int(t.rank) - int(r)
	})
	if !ok {
		p.tiers = slices.Insert(p.tiers, at, &tierGrants{rank: rank})
	}
	return p.tiers[at]
}

// lowest returns the lowest tier that has a grant to revoke.
func (p *place) lowest() (domain.Tier, bool) {
	for _, t := range slices.Backward(p.tiers) {
		if t.revocable > 0 {
			return t.rank, true
		}
	}
	return 0, false
}
