package bytebudget

import (
	"errors"
	"io"
)

// firstBufferBytes is the first size of a buffer for an unknown number of bytes.
const firstBufferBytes = 1 << 10

// Reader reads all bytes of a source into a buffer that is reserved before it is allocated.
type Reader struct {
	// Limit is the largest number of bytes that is read.
	Limit int64
	// Expected is the number of bytes that is expected, not positive if it is not known.
	Expected int64
	// First bounds the first size of the buffer, which doubles as the bytes arrive; 0 for no bound. What is expected need not come.
	First int64
	// Free is what the buffer may hold without a reservation.
	Free int64
}

// ReadAll reads up to the limit and returns what it has read, also with an error. It returns ErrNoRoom if the budget has no room.
func (o Reader) ReadAll(r io.Reader, reserved *Reservation) ([]byte, error) {
	largest := o.Limit + 1
	if o.Expected > 0 {
		// One byte more than expected, so that the end is found without growing.
		largest = min(o.Expected, o.Limit) + 1
	}
	size := o.firstSize(largest)
	if !reserved.Grow(size - o.Free) {
		return nil, ErrNoRoom
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
		case int64(len(buffer)) >= o.Limit:
			return buffer, nil
		case len(buffer) < cap(buffer):
			continue
		}
		if int64(cap(buffer)) >= largest {
			largest = o.Limit + 1 // more came than was expected
		}
		size = min(2*int64(cap(buffer)), largest)
		if !reserved.Grow(size - o.Free) {
			return buffer, ErrNoRoom
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
}

// firstSize returns the first size of the buffer, of which the largest is given.
func (o Reader) firstSize(largest int64) int64 {
	size := largest
	if o.Expected <= 0 {
		size = min(o.Limit, firstBufferBytes) + 1
	}
	if o.First > 0 {
		size = min(size, o.First)
	}
	return size
}
