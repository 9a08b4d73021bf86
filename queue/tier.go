package queue

import (
	"container/heap"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// firstSweep is the number of organisations in a tier's index at which it first
// looks for idle ones to forget.
const firstSweep = 64

// tier shares its turn between organisations by start-time fair queueing
// (Goyal, Vin and Cheng 1996).
type tier[T any] struct {
	rank domain.Tier
	// order holds the organisations with waiting asks, sorted by compareBacklogs.
	order []*backlog[T]
	// byFinish holds the same organisations, the latest finish time first.
	byFinish finishHeap[T]
	// index also holds idle organisations whose start time lies ahead.
	index map[domain.OrganisationID]*backlog[T]
	// virtual is the start time of the ask served last.
	virtual float64
	count   int
	// sweepAt is the size of the index at which idle organisations are forgotten.
	sweepAt int
	// weights is the sum over order.
	weights float64
}

func newTier[T any](rank domain.Tier) *tier[T] {
	return &tier[T]{rank: rank, index: make(map[domain.OrganisationID]*backlog[T]), sweepAt: firstSweep}
}

func (t *tier[T]) push(item *Item[T]) {
	b := t.backlog(item.Organisation)
	t.detach(b)
	b.weight = float64(max(item.Weight, 1))
	if len(b.items) == 0 {
		b.start = max(b.start, t.virtual)
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
	t.virtual = max(t.virtual, b.start)
	b.start += item.cost() / b.weight
	t.drop(b, item)
}

// remove takes an item out without charge.
func (t *tier[T]) remove(item *Item[T]) {
	b := item.backlog
	t.detach(b)
	t.drop(b, item)
}

func (t *tier[T]) drop(b *backlog[T], item *Item[T]) {
	b.remove(item)
	item.backlog = nil
	t.count--
	if len(b.items) == 0 {
		b.items, b.work = nil, 0
		t.forgetIdle()
		return
	}
	t.attach(b)
}

// last returns the item that would be served last: the latest deadline of the
// organisation that has most work waiting for its weight.
func (t *tier[T]) last() *Item[T] { return t.byFinish[0].last() }

// ahead estimates how many of the tier's items are served before the one at the
// given index of its backlog.
func (t *tier[T]) ahead(b *backlog[T], index int) int {
	fair := float64(index) * t.weights / b.weight
	others := t.weights/b.weight - 1
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
	at, _ := slices.BinarySearchFunc(t.order, b, compareBacklogs[T])
	t.order = slices.Insert(t.order, at, b)
	t.weights += b.weight
	heap.Push(&t.byFinish, b)
}

func (t *tier[T]) detach(b *backlog[T]) {
	if len(b.items) == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(t.order, b, compareBacklogs[T])
	t.order = slices.Delete(t.order, at, at+1)
	t.weights -= b.weight
	heap.Remove(&t.byFinish, b.rank)
}

// forgetIdle drops idle organisations that have no charge ahead, each time that
// the index has doubled.
func (t *tier[T]) forgetIdle() {
	if len(t.index) < t.sweepAt {
		return
	}
	for id, b := range t.index {
		if len(b.items) == 0 && b.start <= t.virtual {
			delete(t.index, id)
		}
	}
	t.sweepAt = max(2*len(t.index), firstSweep)
}
