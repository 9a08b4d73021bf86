package queue

import (
	"container/heap"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// minSweepSize is the number of organisations in a tier's index at which idle ones are first removed.
const minSweepSize = 64

// tier divides service between organisations by start-time fair queueing (Goyal, Vin and Cheng 1996).
type tier[T any] struct {
	rank domain.Tier
	// byStart holds the organisations with waiting items, sorted by compareBacklogs.
	byStart []*backlog[T]
	// byFinish holds the same organisations, the latest finish time first.
	byFinish finishHeap[T]
	// index also holds idle organisations whose start time lies ahead of the virtual time.
	index map[domain.OrganisationID]*backlog[T]
	// virtualTime is the start time of the item served last.
	virtualTime float64
	count       int
	// sweepSize is the size of the index at which idle organisations are removed.
	sweepSize int
	// totalWeight is the sum of the weights over byStart.
	totalWeight float64
}

func newTier[T any](rank domain.Tier) *tier[T] {
	return &tier[T]{rank: rank, index: make(map[domain.OrganisationID]*backlog[T]), sweepSize: minSweepSize}
}

func (t *tier[T]) insert(item *Item[T]) {
	b := t.backlog(item.Organisation)
	t.detach(b)
	b.weight = float64(max(item.Weight, 1))
	if len(b.items) == 0 {
		b.startTime = max(b.startTime, t.virtualTime)
	}
	b.insert(item)
	item.backlog = b
	t.count++
	t.attach(b)
}

// take removes an item that is served and charges its organisation.
func (t *tier[T]) take(item *Item[T]) {
	b := item.backlog
	t.detach(b)
	t.virtualTime = max(t.virtualTime, b.startTime)
	b.startTime += item.cost() / b.weight
	t.discard(b, item)
}

// remove removes an item without charge.
func (t *tier[T]) remove(item *Item[T]) {
	b := item.backlog
	t.detach(b)
	t.discard(b, item)
}

func (t *tier[T]) discard(b *backlog[T], item *Item[T]) {
	b.remove(item)
	item.backlog = nil
	t.count--
	if len(b.items) == 0 {
		b.items, b.totalCost = nil, 0
		t.removeIdle()
		return
	}
	t.attach(b)
}

// last returns the item that would be served last: the one with the latest deadline of the organisation with
// the latest finish time.
func (t *tier[T]) last() *Item[T] { return t.byFinish[0].last() }

// ahead estimates how many of the tier's items are served before the one at the given index of its backlog.
func (t *tier[T]) ahead(b *backlog[T], index int) int {
	fair := float64(index) * t.totalWeight / b.weight
	others := t.totalWeight/b.weight - 1
	return min(int(fair+max(others, 0)/2), t.count-1)
}

func (t *tier[T]) backlog(id domain.OrganisationID) *backlog[T] {
	b, ok := t.index[id]
	if !ok {
		b = &backlog[T]{organisation: id}
		t.index[id] = b
	}
	return b
}

func (t *tier[T]) attach(b *backlog[T]) {
	at, _ := slices.BinarySearchFunc(t.byStart, b, compareBacklogs[T])
	t.byStart = slices.Insert(t.byStart, at, b)
	t.totalWeight += b.weight
	heap.Push(&t.byFinish, b)
}

func (t *tier[T]) detach(b *backlog[T]) {
	if len(b.items) == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(t.byStart, b, compareBacklogs[T])
	t.byStart = slices.Delete(t.byStart, at, at+1)
	t.totalWeight -= b.weight
	heap.Remove(&t.byFinish, b.heapIndex)
}

// removeIdle removes idle organisations whose start time is not ahead of the virtual time, each time that the
// index has doubled.
func (t *tier[T]) removeIdle() {
	if len(t.index) < t.sweepSize {
		return
	}
	for id, b := range t.index {
		if len(b.items) == 0 && b.startTime <= t.virtualTime {
			delete(t.index, id)
		}
	}
	t.sweepSize = max(2*len(t.index), minSweepSize)
}
