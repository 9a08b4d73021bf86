package capacity

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// maxVictimsPerTier is the most grants of a tier examined per endpoint, the newest
	// first, because these lose the least work.
	maxVictimsPerTier = 8
	// maxVictimsScanned is about the most grants examined over all endpoints of a pool.
	maxVictimsScanned = 256
)

// revocationPlan is a set of grants at one endpoint whose revocation makes room for a
// request.
type revocationPlan struct {
	endpoint *ownedEndpoint
	victims  []*grant
	// tier is the highest tier among the victims.
	tier domain.Tier
	cost revocationCost
}

// better reports whether the plan is preferable: it spares higher tiers, then loses the
// least work.
func (p *revocationPlan) better(o *revocationPlan) bool {
	if o == nil {
		return true
	}
	if p.tier != o.tier {
		return o.tier.Above(p.tier)
	}
	return p.cost.less(o.cost)
}

// revokeFor revokes as many grants below the request's tier, the lowest tier first, as
// it needs to fit. It reports whether there were any to revoke.
func (o *owner) revokeFor(now time.Time, e *entry) bool {
	best := o.planRevocation(now, e)
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

func (o *owner) revoke(now time.Time, g *grant) {
	g.endpoint.revoke(g, now)
	o.revoking[g] = struct{}{}
	o.counts.Revoked++
	o.updateQueueLimit()
	o.send(g.holder, g.pool, decision{ID: g.id, Kind: decisionRevoked})
}

// revocationProspect is an endpoint with a revocable grant, and the least cost of
// revoking one there.
type revocationProspect struct {
	endpoint *ownedEndpoint
	tier     domain.Tier
	cost     revocationCost
}

// compare orders prospects: the lowest tier first, then the least cost.
func (p revocationProspect) compare(o revocationProspect) int {
	switch {
	case p.tier != o.tier:
		return int(o.tier) - int(p.tier)
	case p.cost.less(o.cost):
		return -1
	case o.cost.less(p.cost):
		return 1
	default:
		return 0
	}
}

// planRevocation returns the plan for the request, or nil if there is none. It takes
// the endpoint whose first victim is of the lowest tier and costs least, unless making
// room there reaches into a higher tier than at another endpoint.
func (o *owner) planRevocation(now time.Time, e *entry) *revocationPlan {
	o.collectProspects(now, e)
	var best *revocationPlan
	for _, p := range o.prospects {
		candidate := p.endpoint.planFor(now, e)
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

// collectProspects collects the endpoints that hold a grant below the request's tier,
// best first. The more endpoints there are, the fewer grants are examined at each.
func (o *owner) collectProspects(now time.Time, e *entry) {
	o.prospects = o.prospects[:0]
	sample := min(max(maxVictimsScanned/max(len(e.pool.endpoints), 1), 1), maxVictimsPerTier)
	for _, p := range e.pool.endpoints {
		tier, ok := p.lowestRevocable()
		if !ok || !p.inService || !e.request.Tier.Above(tier) {
			continue
		}
		g := p.tier(tier).cheapest(now, nil, sample)
		o.prospects = append(o.prospects, revocationProspect{p, tier, g.revocationCost(now)})
	}
	slices.SortFunc(o.prospects, revocationProspect.compare)
}

// planFor returns the grants at this endpoint to revoke for the request, or nil.
func (p *ownedEndpoint) planFor(now time.Time, e *entry) *revocationPlan {
	count := max(p.state.Requests-p.state.Limit+1, 0)
	tokens := 0
	if p.state.TokenLimit > 0 {
		tokens = p.state.ReservedTokens + e.tokens() - p.state.TokenLimit
	}
	if count == 0 && tokens <= 0 {
		count = 1
	}
	result := &revocationPlan{endpoint: p}
	for _, t := range slices.Backward(p.tiers) {
		if !e.request.Tier.Above(t.rank) {
			break
		}
		for count > 0 || tokens > 0 {
			g := t.cheapest(now, result.victims, maxVictimsPerTier)
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

// suffices reports whether the plan makes room: nothing is lacking, or the endpoint
// would be empty.
func (p *ownedEndpoint) suffices(result *revocationPlan, count, tokens int) bool {
	return (count <= 0 && tokens <= 0) || len(result.victims) == p.state.Requests
}

func (p *revocationPlan) add(now time.Time, g *grant) {
	p.victims = append(p.victims, g)
	p.tier = g.request.Tier
	p.cost = p.cost.plus(g.revocationCost(now))
}

// cheapest returns the grant whose revocation costs least, among the newest that are
// neither revoked nor in the plan.
func (t *tierGrants) cheapest(now time.Time, planned []*grant, sample int) *grant {
	var best *grant
	var least revocationCost
	seen := 0
	for _, g := range slices.Backward(t.grants) {
		if g.revoked() || slices.Contains(planned, g) {
			continue
		}
		if l := g.revocationCost(now); best == nil || l.less(least) {
			best, least = g, l
		}
		if seen++; seen == sample {
			break
		}
	}
	return best
}
