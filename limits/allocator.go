package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// expiryInterval is how often an allocator checks for expired nodes.
const expiryInterval = time.Second

// allocator is an owner's state of one organisation. It is pure: it has no clock and
// does no I/O. It keeps totals, so that the time of an allocation does not depend on
// the number of nodes.
type allocator struct {
	organisation domain.OrganisationID
	nodes        map[domain.NodeID]*nodeState
	totals       totals
	bucket       bucket
	allocatedAt  time.Time
	expiredAt    time.Time
}

func newAllocator(organisation domain.OrganisationID) *allocator {
	return &allocator{organisation: organisation, nodes: make(map[domain.NodeID]*nodeState)}
}

// allocationParams are the parameters of an allocation.
type allocationParams struct {
	// limit is the limit on requests in flight; pool is the part shared by demand.
	limit           int
	pool            int
	tokensPerMinute int
	// nodes is the number of live nodes.
	nodes int
	// settling is true while this node has only recently become the owner.
	settling bool
	// ended reports whether a node's incarnation has certainly ended.
	ended func(domain.NodeID, domain.Incarnation) bool
	// expiry is the age at which a node's state expires.
	expiry time.Duration
	// rotation numbers the rotations of the indivisible remainders.
	rotation uint64
}

// allocate records a node's demand and returns its allocation.
func (a *allocator) allocate(now time.Time, from domain.Member, d demand, params allocationParams) allocation {
	a.allocatedAt = now
	a.expireNodes(now, params)
	old, known := a.nodes[from.Node]
	if known && old.isStale(from.Incarnation, d.Sequence) {
		return allocation{Ignored: true}
	}
	if !known && params.settling {
		a.bucket.refill(now, params.tokensPerMinute)
		a.bucket.charge(min(d.RecentTokens, params.tokensPerMinute))
	}
	state := &nodeState{
		incarnation: from.Incarnation,
		sequence:    d.Sequence,
		committed:   max(d.Share, d.InFlight),
		wanted:      min(max(d.Wanted, 0), params.pool),
		tokens:      max(d.Tokens, 0),
		reportedAt:  now,
	}
	if known {
		a.totals.add(old, -1)
	}
	others := a.totals.committed
	a.totals.add(state, 1)
	result := allocation{Limit: params.limit, Share: a.allocateShare(from.Node, d, state, params, others)}
	a.totals.committed += max(result.Share-state.committed, 0)
	state.committed = max(state.committed, result.Share)
	a.nodes[from.Node] = state
	result.Tokens, result.Wait = a.allocateTokens(now, d, params)
	return result
}

// allocateShare returns the node's new share. Together with the most that all other
// nodes may use it does not exceed the pool.
func (a *allocator) allocateShare(node domain.NodeID, d demand, state *nodeState, params allocationParams, others int) int {
	share := targetShare(params.pool, a.totals, state.wanted, rotationPhase(a.organisation, node, params.rotation))
	if params.settling {
		share = max(min(share, equalShare(params.pool, params.nodes)), min(d.Share, state.wanted))
	}
	return max(min(share, params.pool-others), 0)
}

// allocateTokens refills the bucket and gives the node its part in proportion to
// demand.
func (a *allocator) allocateTokens(now time.Time, d demand, params allocationParams) (int, time.Duration) {
	if params.tokensPerMinute <= 0 {
		return 0, 0
	}
	a.bucket.level += float64(max(d.ReturnedTokens, 0))
	a.bucket.refill(now, params.tokensPerMinute)
	a.bucket.charge(max(d.AdvanceTokens, 0))
	if d.Tokens <= 0 {
		return 0, 0
	}
	granted := a.bucket.take(d.Tokens, float64(d.Tokens)/float64(a.totals.tokens))
	return granted, a.bucket.timeUntilPositive()
}

// expireNodes deletes the state of nodes whose incarnation has ended or that have not
// reported for the expiry time.
func (a *allocator) expireNodes(now time.Time, params allocationParams) {
	if now.Sub(a.expiredAt) < expiryInterval {
		return
	}
	a.expiredAt = now
	for node, state := range a.nodes {
		if now.Sub(state.reportedAt) >= params.expiry || params.ended(node, state.incarnation) {
			a.totals.add(state, -1)
			delete(a.nodes, node)
		}
	}
}
