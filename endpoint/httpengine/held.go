package httpengine

import (
	"io"

	"hawthornrill.example/hawthornrill/bytebudget"
)

const (
	// maxHeldBytes bounds what all clients of a process hold of reports and events that have not arrived whole.
	maxHeldBytes = 8 << 20
	// freeBytes is what each of them may hold without a reservation, enough for nearly all.
	freeBytes = 16 << 10
)

// held is what the clients of the process reserve from.
var held = bytebudget.New(maxHeldBytes, maxEventBytes)

// eventSource is the body of a stream. Reading fails with bytebudget.ErrNoRoom if there is no room for more of the event.
type eventSource struct {
	body     io.Reader
	reserved bytebudget.Reservation
	// pending is the size of what has been read since the last event.
	pending int64
}

func newEventSource(body io.Reader) *eventSource {
	return &eventSource{body: body, reserved: held.Reserve(1)}
}

// Read implements io.Reader.
func (s *eventSource) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.pending = min(s.pending+int64(n), maxEventBytes)
	if !s.reserved.Grow(2*s.pending - freeBytes) { // a buffer that grows holds its old and its new contents
		return 0, bytebudget.ErrNoRoom
	}
	return n, err
}

// release gives back what the last event held.
func (s *eventSource) release() {
	s.pending = 0
	s.reserved.Release()
}
