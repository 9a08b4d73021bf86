package entry

import "sync/atomic"

// bodyBudget limits the memory reserved for request bodies.
type bodyBudget struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves n bytes. It returns false if that would exceed the limit.
func (b *bodyBudget) reserve(n int64) bool {
	if b.reserved.Add(n) <= b.limit {
		return true
	}
	b.reserved.Add(-n)
	return false
}

func (b *bodyBudget) release(n int64) { b.reserved.Add(-n) }
