package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// expireEvery is how often a book looks for holdings that no longer count.
const expireEvery = time.Second

// book is what an owner knows of an organisation. It is pure: it has no clock and
// does no I/O. Its sums make an answer's time independent of the number of nodes.
type book struct {
	organisation domain.OrganisationID
	holdings     map[domain.NodeID]*holding
	sums         sums
	bucket       bucket
	answeredAt   time.Time
	expiredAt    time.Time
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
	old, known := b.holdings[from.Node]
	if known && old.outdated(from.Incarnation, d.Sequence) {
		return allotment{Ignored: true}
	}
	if !known && t.settling {
		b.bucket.fill(now, t.tokensPerMinute)
		b.bucket.spend(min(d.Recent, t.tokensPerMinute))
	}
	h := &holding{
		incarnation: from.Incarnation,
		sequence:    d.Sequence,
		committed:   max(d.Share, d.InFlight),
		wanted:      min(max(d.Wanted, 0), t.pool),
		tokens:      max(d.Tokens, 0),
		at:          now,
	}
	if known {
		b.sums.add(old, -1)
	}
	others := b.sums.committed
	b.sums.add(h, 1)
	a := allotment{Limit: t.limit, Share: b.share(from.Node, d, h, t, others)}
	b.sums.committed += max(a.Share-h.committed, 0)
	h.committed = max(h.committed, a.Share)
	b.holdings[from.Node] = h
	a.Tokens, a.Wait = b.tokens(now, d, t)
	return a
}

// share returns the node's new share. With the most that all others may use it is
// no more than the pool.
func (b *book) share(node domain.NodeID, d demand, h *holding, t terms, others int) int {
	share := target(t.pool, b.sums, h.wanted, turn(b.organisation, node, t.round))
	if t.settling {
		share = max(min(share, equalPart(t.pool, t.nodes)), min(d.Share, h.wanted))
	}
	return max(min(share, t.pool-others), 0)
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
	given := b.bucket.take(d.Tokens, float64(d.Tokens)/float64(b.sums.tokens))
	return given, b.bucket.debt()
}

// expire drops the holdings of nodes that are gone or have long been silent.
func (b *book) expire(now time.Time, t terms) {
	if now.Sub(b.expiredAt) < expireEvery {
		return
	}
	b.expiredAt = now
	for node, h := range b.holdings {
		if now.Sub(h.at) >= t.expiry || t.gone(node, h.incarnation) {
			b.sums.add(h, -1)
			delete(b.holdings, node)
		}
	}
}
