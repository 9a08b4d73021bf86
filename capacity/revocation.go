package capacity

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// victimSample is the most grants of a tier looked at per endpoint, the newest
// first, because these have lost least.
const victimSample = 8

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

// victims returns the best plan for the ask, or nil if there is none.
func (o *owner) victims(now time.Time, e *entry) *plan {
	tier, ok := o.lowestBelow(e)
	if !ok {
		return nil
	}
	var best *plan
	for _, p := range e.pool.places {
		if lowest, ok := p.lowest(); !ok || !p.serving || lowest != tier {
			continue
		}
		if candidate := p.planFor(now, e); candidate != nil && candidate.better(best) {
			best = candidate
		}
	}
	if best != nil {
		return best
	}
	return o.anyPlan(now, e)
}

// anyPlan looks at the places whose lowest tier is not the pool's lowest too.
func (o *owner) anyPlan(now time.Time, e *entry) *plan {
	var best *plan
	for _, p := range e.pool.places {
		if !p.serving {
			continue
		}
		if candidate := p.planFor(now, e); candidate != nil && candidate.better(best) {
			best = candidate
		}
	}
	return best
}

// lowestBelow returns the lowest tier below the ask's that holds a grant.
func (o *owner) lowestBelow(e *entry) (domain.Tier, bool) {
	var lowest domain.Tier
	found := false
	for _, p := range e.pool.places {
		if !p.serving {
			continue
		}
		if tier, ok := p.lowest(); ok && e.ask.Tier.Above(tier) && (!found || lowest.Above(tier)) {
			lowest, found = tier, true
		}
	}
	return lowest, found
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
			g := t.cheapest(now, result.victims)
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
func (t *tierGrants) cheapest(now time.Time, planned []*grant) *grant {
	var best *grant
	seen := 0
	for _, g := range slices.Backward(t.grants) {
		if g.revoked() || slices.Contains(planned, g) {
			continue
		}
		if best == nil || g.loss(now).less(best.loss(now)) {
			best = g
		}
		if seen++; seen == victimSample {
			break
		}
	}
	return best
}
