package ledger

// endedKey is a key and the time at which its record ended, as a timestamp of the
// record set.
type endedKey struct {
	key   KeyHash
	since int64
}

// endedBlockSize is the number of keys per allocation.
const endedBlockSize = 512

// endedQueue is a FIFO queue made of blocks, so that its memory use follows its length.
type endedQueue struct {
	blocks [][]endedKey
	// head is the number of keys taken from the first block.
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
