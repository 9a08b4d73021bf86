package engine

import (
	"sync"
	"time"
)

// stream holds the events of one answer, from the first on.
type stream struct {
	key      string
	sequence *sequence // guarded by the engine's mutex

	mu      sync.Mutex
	events  [][]byte
	end     error // nil while open, io.EOF when complete
	readers []*reader
	faults  Faults
}

func newStream(key string) *stream { return &stream{key: key} }

func (s *stream) add(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.wake()
}

// finish ends the stream; only the first call counts.
func (s *stream) finish(end error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		s.end = end
	}
	s.wake()
}

func (s *stream) wake() {
	for _, r := range s.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// setFaults makes the stream's readers see the faults.
func (s *stream) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// cut breaks all readers that there are.
func (s *stream) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.readers {
		r.broken = true
	}
	s.wake()
}

// endedStream is a stream that is kept for a while after its end.
type endedStream struct {
	stream *stream
	at     time.Time
}
