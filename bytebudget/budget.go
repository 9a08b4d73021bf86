// Package bytebudget bounds the memory that all requests of a node together hold for one purpose.
package bytebudget

import (
	"errors"
	"sync/atomic"
)

// ErrNoRoom means that the node holds as many bytes of that kind as it may.
var ErrNoRoom = errors.New("bytebudget: the node holds too many bytes")

// Budget bounds the bytes that are held for one purpose. It is safe for concurrent use.
type Budget struct {
	limit int64
	// small is the size up to which a reservation may use the whole limit. Larger ones may use a part of it, so that small ones
	// still find room when they have used theirs.
	small int64
	held  atomic.Int64
}

// New returns a budget of limit bytes, of which reservations above small bytes may use a part; see Reserve.
func New(limit, small int64) *Budget { return &Budget{limit: limit, small: small} }

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Reserve returns an empty reservation that may use the given part of the limit, between 0 and 1, once it is not small any more.
func (b *Budget) Reserve(part float64) Reservation { return Reservation{budget: b, part: part} }

// Reservation is what one request holds of a budget. The zero value has no budget and no bound. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	part   float64
	bytes  int64
}

// Grow extends the reservation to the given size. It reports false, and changes nothing, if the budget has no room for that.
func (r *Reservation) Grow(size int64) bool {
	more := size - r.bytes
	if more <= 0 || r.budget == nil {
		return true
	}
	limit := r.budget.limit
	if size > r.budget.small {
		limit = int64(r.part * float64(limit))
	}
	if r.budget.held.Add(more) > limit {
		r.budget.held.Add(-more)
		return false
	}
	r.bytes = size
	return true
}

// Bytes returns what is reserved.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Release returns what is reserved.
func (r *Reservation) Release() {
	if r.bytes > 0 {
		r.budget.held.Add(-r.bytes)
		r.bytes = 0
	}
}
