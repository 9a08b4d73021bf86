package queue

// finishHeap orders backlogs by finish time, the latest first. It implements
// heap.Interface.
type finishHeap[T any] []*backlog[T]

func (h finishHeap[T]) Len() int { return len(h) }

func (h finishHeap[T]) Less(i, j int) bool {
	a, b := h[i].finish(), h[j].finish()
	if a != b {
		return a > b
	}
	return h[i].organisation > h[j].organisation
}

func (h finishHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].rank = i
	h[j].rank = j
}

// Push implements heap.Interface.
func (h *finishHeap[T]) Push(x any) {
	b := x.(*backlog[T])
	b.rank = len(*h)
	*h = append(*h, b)
}

// Pop implements heap.Interface.
func (h *finishHeap[T]) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return b
}
