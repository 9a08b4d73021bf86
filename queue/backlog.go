package queue

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// backlog holds one organisation's asks within a tier.
type backlog[T any] struct {
	organisation domain.OrganisationID
	// items are sorted by compareItems.
	items  []*Item[T]
	weight float64
	// start is the virtual time at which the next ask's service starts.
	start float64
	// work is the sum of the items' costs.
	work float64
	// rank is the place in the tier's heap of finish times.
	rank int
}

// finish is the virtual time at which the whole backlog would be served.
func (b *backlog[T]) finish() float64 { return b.start + b.work/b.weight }

func (b *backlog[T]) insert(item *Item[T]) {
	at, _ := slices.BinarySearchFunc(b.items, item, compareItems[T])
	b.items = slices.Insert(b.items, at, item)
	b.work += item.cost()
}

func (b *backlog[T]) remove(item *Item[T]) {
	at := b.index(item)
	b.work -= item.cost()
	if at == 0 {
		b.items[0] = nil
		b.items = b.items[1:]
		return
	}
	b.items = slices.Delete(b.items, at, at+1)
}

func (b *backlog[T]) index(item *Item[T]) int {
	at, _ := slices.BinarySearchFunc(b.items, item, compareItems[T])
	return at
}

func (b *backlog[T]) last() *Item[T] { return b.items[len(b.items)-1] }

// compareBacklogs orders a tier's organisations: smallest start time first.
func compareBacklogs[T any](a, b *backlog[T]) int {
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.organisation, b.organisation)
}
