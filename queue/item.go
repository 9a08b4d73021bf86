package queue

import (
	"cmp"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Item is one waiting request. Its fields must not change while it is queued.
type Item[T any] struct {
	Value        T
	Tier         domain.Tier
	Organisation domain.OrganisationID
	// Weight is the organisation's share within the tier; less than 1 counts as 1.
	Weight int
	// Cost is the work of the request in a unit common to the queue; less than 1 counts as 1.
	Cost int64
	// Due is the deadline by which the items of one organisation are ordered.
	Due time.Time

	sequence uint64
	backlog  *backlog[T]
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.backlog != nil }

func (i *Item[T]) cost() float64 { return float64(max(i.Cost, 1)) }

// compareItems orders the items of one organisation: earliest deadline first, then order of arrival.
func compareItems[T any](a, b *Item[T]) int {
	if c := a.Due.Compare(b.Due); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}
