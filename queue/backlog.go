package queue

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// backlog holds the waiting items of one organisation within a tier.
type backlog[T any] struct {
	organisation domain.OrganisationID
	// items are sorted by compareItems.
	items  []*Item[T]
	weight float64
	// startTime is the virtual time at which the service of the next item starts.
	startTime float64
	// totalCost is the sum of the items' costs.
	totalCost float64
	// heapIndex is the index in the tier's heap of finish times.
	heapIndex int
}

// finishTime is the virtual time at which the whole backlog would be served.
func (b *backlog[T]) finishTime() float64 { return b.startTime + b.totalCost/b.weight }

func (b *backlog[T]) insert(item *Item[T]) {
	at, _ := slices.BinarySearchFunc(b.items, item, compareItems[T])
	b.items = slices.Insert(b.items, at, item)
	b.totalCost += item.cost()
}

func (b *backlog[T]) remove(item *Item[T]) {
	at := b.index(item)
	b.totalCost -= item.cost()
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

// compareBacklogs orders a tier's organisations by start time, the earliest first.
func compareBacklogs[T any](a, b *backlog[T]) int {
	if c := cmp.Compare(a.startTime, b.startTime); c != 0 {
		return c
	}
	return cmp.Compare(a.organisation, b.organisation)
}
