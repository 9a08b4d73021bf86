// Package queue orders waiting requests: by strict tier priority, within a tier between organisations by
// weighted start-time fair queueing, and within an organisation by earliest deadline. It is a bounded data
// structure without I/O, clock or lock.
package queue

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	bound    int
	length   int
	sequence uint64
	// tiers are sorted, the highest first.
	tiers []*tier[T]
}

// New returns an empty queue for at most bound items.
func New[T any](bound int) *Queue[T] { return &Queue[T]{bound: bound} }

// SetBound changes the bound. Items in excess of it are not evicted before the next Push.
func (q *Queue[T]) SetBound(bound int) { q.bound = bound }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// LenTier returns the number of waiting items of a tier.
func (q *Queue[T]) LenTier(rank domain.Tier) int {
	for _, t := range q.tiers {
		if t.rank == rank {
			return t.count
		}
	}
	return 0
}

// Push adds the item. If the queue then exceeds its bound, one item is evicted and returned: the one of the
// lowest non-empty tier that would be served last. This may be the pushed item itself.
func (q *Queue[T]) Push(item *Item[T]) (evicted *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	q.tier(item.Tier).insert(item)
	q.length++
	if q.length <= q.bound {
		return nil
	}
	evicted = q.Last()
	q.Remove(evicted)
	return evicted
}

// Last returns the item that the next eviction would remove, or nil.
func (q *Queue[T]) Last() *Item[T] {
	for _, t := range slices.Backward(q.tiers) {
		if t.count > 0 {
			return t.last()
		}
	}
	return nil
}

// Peek returns the first item in service order that fits, or nil.
func (q *Queue[T]) Peek(fits func(*Item[T]) bool) *Item[T] {
	for item := range q.Ordered() {
		if fits(item) {
			return item
		}
	}
	return nil
}

// Pop removes the first item in service order that fits and charges its organisation for it. It returns nil
// if none fits.
func (q *Queue[T]) Pop(fits func(*Item[T]) bool) *Item[T] {
	item := q.Peek(fits)
	if item != nil {
		q.Take(item)
	}
	return item
}

// Take removes a waiting item that is to be served and charges its organisation.
func (q *Queue[T]) Take(item *Item[T]) {
	q.tier(item.Tier).take(item)
	q.length--
}

// Remove removes a waiting item without charge. It reports whether the item was queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if !item.Waiting() {
		return false
	}
	q.tier(item.Tier).remove(item)
	q.length--
	return true
}

// Expire removes all items that are due at now or before, without charge.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var expired []*Item[T]
	for item := range q.Ordered() {
		if !item.Due.After(now) {
			expired = append(expired, item)
		}
	}
	for _, item := range expired {
		q.Remove(item)
	}
	return expired
}

// Ordered yields the items in service order, approximated by one turn per organisation. The queue must not
// change during the iteration.
func (q *Queue[T]) Ordered() iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		for item := range q.Positions() {
			if !yield(item) {
				return
			}
		}
	}
}

// Positions yields the items in the order of Ordered, each with an estimate of the number of items that will
// be served before it.
func (q *Queue[T]) Positions() iter.Seq2[*Item[T], int] {
	return func(yield func(*Item[T], int) bool) {
		higher := 0
		for _, t := range q.tiers {
			if !t.positions(higher, yield) {
				return
			}
			higher += t.count
		}
	}
}

// TierPositions is like Positions for the items of one tier.
func (q *Queue[T]) TierPositions(rank domain.Tier) iter.Seq2[*Item[T], int] {
	return func(yield func(*Item[T], int) bool) {
		higher := 0
		for _, t := range q.tiers {
			if t.rank == rank {
				t.positions(higher, yield)
				return
			}
			higher += t.count
		}
	}
}

// Tiers yields the tiers, the highest first, each with its number of waiting items.
func (q *Queue[T]) Tiers() iter.Seq2[domain.Tier, int] {
	return func(yield func(domain.Tier, int) bool) {
		for _, t := range q.tiers {
			if !yield(t.rank, t.count) {
				return
			}
		}
	}
}

func (t *tier[T]) positions(higher int, yield func(*Item[T], int) bool) bool {
	for _, b := range t.byStart {
		for i, item := range b.items {
			if !yield(item, higher+t.ahead(b, i)) {
				return false
			}
		}
	}
	return true
}

// Ahead estimates how many items will be served before the given waiting item.
func (q *Queue[T]) Ahead(item *Item[T]) int {
	higher := 0
	for _, t := range q.tiers {
		if t.rank == item.Tier {
			return higher + t.ahead(item.backlog, item.backlog.index(item))
		}
		higher += t.count
	}
	return higher
}

// AheadOf estimates how many items would be served before a new item of the tier and organisation.
func (q *Queue[T]) AheadOf(rank domain.Tier, organisation domain.OrganisationID, weight int) int {
	ahead := 0
	for _, t := range q.tiers {
		if !rank.Above(t.rank) && t.rank != rank {
			ahead += t.count
			continue
		}
		if t.rank == rank {
			ahead += t.aheadOf(organisation, float64(max(weight, 1)))
		}
		break
	}
	return ahead
}

func (t *tier[T]) aheadOf(organisation domain.OrganisationID, weight float64) int {
	b, ok := t.index[organisation]
	if ok && len(b.items) > 0 {
		return min(t.ahead(b, len(b.items)), t.count)
	}
	return min(int(t.totalWeight/weight/2), t.count)
}

func (q *Queue[T]) tier(rank domain.Tier) *tier[T] {
	at, ok := slices.BinarySearchFunc(q.tiers, rank, func(t *tier[T], r domain.Tier) int {
		return cmp.Compare(t.rank, r)
	})
	if !ok {
		q.tiers = slices.Insert(q.tiers, at, newTier[T](rank))
	}
	return q.tiers[at]
}
