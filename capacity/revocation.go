package capacity

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// victimSample is the most grants of a tier looked at per endpoint, the newest
	// first, because these have lost least.
	victimSample = 8
	// victimsSeen is about the most looked at over all endpoints of a pool.
	victimsSeen = 256
)

// plan is a set of grants at one place whose revocation makes room for an ask.
type plan struct {
	place   *place
	victims []*grant
	// tier is the highest tier among the victims.
	tier domain.Tier
	loss loss
}

// better reports whether the plan is to be preferred: it spares higher tiers,
// then loses least.
func (p *plan) better(o *plan) bool {
	if o == nil {
		return true
	}
	if p.tier != o.tier {
		return o.tier.Above(p.tier)
	}
	return p.loss.less(o.loss)
}

// revokeFor revokes grants of the lowest tier below the ask's, so many that it
// fits. It reports whether there were any.
func (o *owner) revokeFor(now time.Time, e *entry) bool {
	best := o.victims(now, e)
	if best == nil {
		return false
	}
	for _, g := range best.victims {
		o.revoke(now, g)
	}
	last := best.victims[len(best.victims)-1]
	last.beneficiary = e
	e.victim = last
	return true
}

// revoke takes a grant back.
func (o *owner) revoke(now time.Time, g *grant) {
	g.place.revoke(g, now)
	o.revoking[g] = struct{}{}
	o.counts.Revoked++
	o.bound()
	o.send(g.holder, g.pool, ruling{ID: g.id, Verdict: verdictRevoked})
}

// prospect is a place that holds a grant to revoke, with the least loss there.
type prospect struct {
	place *place
	tier  domain.Tier
	loss  loss
}

// compare orders prospects: the lowest tier first, then the least loss.
func (p prospect) compare(o prospect) int {
	switch {
	case p.tier != o.tier:
		return int(o.tier) - int(p.tier)
	case p.loss.less(o.loss):
		return -1
	case o.loss.less(p.loss):
		return 1
	default:
		return 0
	}
}

// victims returns the plan for the ask, or nil if there is none: at the place
// whose first victim is of the lowest tier and loses least, unless making room
// there reaches into a higher tier than at another one.
func (o *owner) victims(now time.Time, e *entry) *plan {
	o.gather(now, e)
	var best *plan
	for _, p := range o.prospects {
		candidate := p.place.planFor(now, e)
		if candidate == nil {
			continue
		}
		if candidate.tier == o.prospects[0].tier {
			return candidate
		}
		if candidate.better(best) {
			best = candidate
		}
	}
	return best
}

// gather collects the places that hold a grant below the ask's tier, best first.
// The more places there are, the fewer grants it looks at in each.
func (o *owner) gather(now time.Time, e *entry) {
	o.prospects = o.prospects[:0]
	sample := min(max(victimsSeen/max(len(e.pool.places), 1), 1), victimSample)
	for _, p := range e.pool.places {
		tier, ok := p.lowest()
		if !ok || !p.serving || !e.ask.Tier.Above(tier) {
			continue
		}
		g := p.tier(tier).cheapest(now, nil, sample)
		o.prospects = append(o.prospects, prospect{p, tier, g.loss(now)})
	}
	slices.SortFunc(o.prospects, prospect.compare)
}

// planFor returns the grants at this place to revoke for the ask, or nil.
func (p *place) planFor(now time.Time, e *entry) *plan {
	count := max(p.state.Requests-p.state.Limit+1, 0)
	tokens := 0
	if p.state.TokenLimit > 0 {
		tokens = p.state.ReservedTokens + e.tokens() - p.state.TokenLimit
	}
	if count == 0 && tokens <= 0 {
		count = 1
	}
	result := &plan{place: p}
	for _, t := range slices.Backward(p.tiers) {
		if !e.ask.Tier.Above(t.rank) {
			break
		}
		for count > 0 || tokens > 0 {
			g := t.cheapest(now, result.victims, victimSample)
			if g == nil {
				break
			}
			result.add(now, g)
			count--
			tokens -= g.tokens()
		}
	}
	if len(result.victims) == 0 || !p.suffices(result, count, tokens) {
		return nil
	}
	return result
}

// suffices reports whether the plan makes room: nothing is lacking, or the place
// would be empty.
func (p *place) suffices(result *plan, count, tokens int) bool {
	return (count <= 0 && tokens <= 0) || len(result.victims) == p.state.Requests
}

func (p *plan) add(now time.Time, g *grant) {
	p.victims = append(p.victims, g)
	p.tier = g.ask.Tier
	p.loss = p.loss.plus(g.loss(now))
}

// cheapest returns the grant whose revocation loses least, among the newest that
// are neither revoked nor in the plan.
func (t *tierGrants) cheapest(now time.Time, planned []*grant, sample int) *grant {
	var best *grant
	var least loss
	seen := 0
	for _, g := range slices.Backward(t.grants) {
		if g.revoked() || slices.Contains(planned, g) {
			continue
		}
		if l := g.loss(now); best == nil || l.less(least) {
			best, least = g, l
		}
		if seen++; seen == sample {
			break
		}
	}
	return best
}
