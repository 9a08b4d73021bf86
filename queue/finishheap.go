package queue

// finishHeap orders backlogs by finish time, the latest first. It implements heap.Interface.
type finishHeap[T any] []*backlog[T]

func (h finishHeap[T]) Len() int { return len(h) }

func (h finishHeap[T]) Less(i, j int) bool {
	a, b := h[i].finishTime(), h[j].finishTime()
	if a != b {
		return a > b
	}
	return h[i].organisation > h[j].organisation
}

func (h finishHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *finishHeap[T]) Push(x any) {
	b := x.(*backlog[T])
	b.heapIndex = len(*h)
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
