package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

// errNoRoom means that the node holds as many bytes of that kind as it may.
var errNoRoom = errors.New("gateway: the node holds too many bytes")

// byteBudget bounds the bytes that all requests together hold for one purpose.
type byteBudget struct {
	limit int64
	held  atomic.Int64
}

// reservation is what one request holds of a budget.
type reservation struct {
	budget *byteBudget
	bytes  int64
}

// grow extends the reservation to the given size. It reports false, and changes nothing, if the budget has no room for that.
func (r *reservation) grow(size int64) bool {
	more := size - r.bytes
	if more <= 0 {
		return true
	}
	if r.budget.held.Add(more) > r.budget.limit {
		r.budget.held.Add(-more)
		return false
	}
	r.bytes = size
	return true
}

// release returns what is reserved.
func (r *reservation) release() {
	r.budget.held.Add(-r.bytes)
	r.bytes = 0
}

const (
	// freeBytes is what each buffer may hold without a reservation, enough for nearly all answers.
	freeBytes = 16 << 10
	// firstBufferBytes is the first size of a buffer for an unknown number of bytes.
	firstBufferBytes = 1 << 10
)

// readAll reads up to limit bytes, expected of them if that is above 0, and reserves what exceeds freeBytes before it is allocated. It returns
// errNoRoom, with what has been read, if there is no room.
func readAll(r io.Reader, expected, limit int64, reserved *reservation) ([]byte, error) {
	if expected <= 0 {
		expected = firstBufferBytes
	}
	// One byte more than expected, so that the end is found without growing.
	size := min(expected, limit) + 1
	if !reserved.grow(size - freeBytes) {
		return nil, errNoRoom
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return buffer, err
		case int64(len(buffer)) >= limit:
			return buffer, nil
		case len(buffer) < cap(buffer):
			continue
		}
		size = min(2*int64(cap(buffer)), limit+1)
		if !reserved.grow(size - freeBytes) {
			return buffer, errNoRoom
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
}
