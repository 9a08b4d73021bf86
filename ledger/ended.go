package ledger

// endedKey is a key whose record ended at a time of the book's clock.
type endedKey struct {
	key   KeyHash
	since int64
}

// endedBlockSize is how many keys share one allocation.
const endedBlockSize = 512

// endedQueue is a first-in-first-out queue in blocks, so that its memory follows
// its length.
type endedQueue struct {
	blocks [][]endedKey
	// head counts the keys taken from the first block.
	head int
}

func (q *endedQueue) push(k endedKey) {
	last := len(q.blocks) - 1
	if last < 0 || len(q.blocks[last]) == endedBlockSize {
		q.blocks = append(q.blocks, make([]endedKey, 0, endedBlockSize))
		last++
	}
	q.blocks[last] = append(q.blocks[last], k)
}

func (q *endedQueue) peek() (endedKey, bool) {
	if len(q.blocks) == 0 || q.head >= len(q.blocks[0]) {
		return endedKey{}, false
	}
	return q.blocks[0][q.head], true
}

func (q *endedQueue) pop() {
	q.head++
	if q.head == endedBlockSize {
		q.blocks[0] = nil
		q.blocks = q.blocks[1:]
		q.head = 0
	}
}
