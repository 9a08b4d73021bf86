package entry

import "sync/atomic"

// budget bounds the bytes of request bodies held at a time.
type budget struct {
	limit int64
	held  atomic.Int64
}

// take reports whether n bytes are free, and takes them.
func (b *budget) take(n int64) bool {
	if b.held.Add(n) <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

func (b *budget) give(n int64) { b.held.Add(-n) }
