package limits

import (
	"maps"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// book is what an owner knows of an organisation. It is pure: it has no clock and
// does no I/O.
type book struct {
	organisation domain.OrganisationID
	holdings     map[domain.NodeID]*holding
	bucket       bucket
	answeredAt   time.Time
}

func newBook(organisation domain.OrganisationID) *book {
	return &book{organisation: organisation, holdings: make(map[domain.NodeID]*holding)}
}

// terms are what an owner goes by when it answers a demand.
type terms struct {
	// limit is on requests in flight; pool is what is shared of it.
	limit           int
	pool            int
	tokensPerMinute int
	// nodes is the number of live nodes.
	nodes int
	// settling is true while this node is new as the organisation's owner.
	settling bool
	// gone reports whether a node's life has certainly ended.
	gone func(domain.NodeID, domain.Incarnation) bool
	// expiry is the age at which a holding no longer counts.
	expiry time.Duration
	// round numbers the turns.
	round uint64
}

// answer takes a node's demand and returns its allotment.
func (b *book) answer(now time.Time, from domain.Member, d demand, t terms) allotment {
	b.answeredAt = now
	b.expire(now, t)
	h, known := b.holdings[from.Node]
	if known && h.outdated(from.Incarnation, d.Sequence) {
		return allotment{Ignored: true}
	}
	if !known {
		h = &holding{}
		b.holdings[from.Node] = h
	}
	*h = holding{
		incarnation: from.Incarnation,
		sequence:    d.Sequence,
		committed:   max(d.Share, d.InFlight),
		wanted:      min(max(d.Wanted, 0), t.pool),
		tokens:      max(d.Tokens, 0),
		at:          now,
	}
	a := allotment{Limit: t.limit, Share: b.share(from.Node, d, t)}
	h.committed = max(h.committed, a.Share)
	if !known && t.settling {
		b.bucket.fill(now, t.tokensPerMinute)
		b.bucket.spend(min(d.Recent, t.tokensPerMinute))
	}
	a.Tokens, a.Wait = b.tokens(now, d, t)
	return a
}

// share returns the node's new share. With the most that all others may use it is
// no more than the pool.
func (b *book) share(node domain.NodeID, d demand, t terms) int {
	h := b.holdings[node]
	share := target(t.pool, b.claims(), h.wanted, turn(b.organisation, node, t.round))
	if t.settling {
		share = max(min(share, equalPart(t.pool, t.nodes)), min(d.Share, h.wanted))
	}
	return max(min(share, t.pool-b.committedBesides(node)), 0)
}

// tokens fills the bucket and gives the node its part by demand.
func (b *book) tokens(now time.Time, d demand, t terms) (int, time.Duration) {
	if t.tokensPerMinute <= 0 {
		return 0, 0
	}
	b.bucket.level += float64(max(d.Returned, 0))
	b.bucket.fill(now, t.tokensPerMinute)
	b.bucket.spend(max(d.Advance, 0))
	if d.Tokens <= 0 {
		return 0, 0
	}
	wanted := 0
	for _, h := range b.holdings {
		wanted += h.tokens
	}
	given := b.bucket.take(d.Tokens, float64(d.Tokens)/float64(wanted))
	return given, b.bucket.debt()
}

func (b *book) claims() claims {
	c := claims{}
	for _, h := range b.holdings {
		if h.wanted > 0 {
			c.nodes++
			c.wanted += h.wanted
		}
	}
	return c
}

func (b *book) committedBesides(node domain.NodeID) int {
	sum := 0
	for id, h := range b.holdings {
		if id != node {
			sum += h.committed
		}
	}
	return sum
}

// expire drops the holdings of nodes that are gone or have long been silent.
func (b *book) expire(now time.Time, t terms) {
	maps.DeleteFunc(b.holdings, func(node domain.NodeID, h *holding) bool {
		return now.Sub(h.at) >= t.expiry || t.gone(node, h.incarnation)
	})
}
