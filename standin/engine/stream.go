package engine

import (
	"sync"
	"time"
)

// stream holds all events of one answer.
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

// finish ends the stream. Only the first call has an effect on the end error.
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

// setFaults applies the faults to the stream's readers.
func (s *stream) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// disconnect breaks all current readers.
func (s *stream) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.readers {
		r.disconnected = true
	}
	s.wake()
}

// endedStream is a stream kept for Options.Retention after its end.
type endedStream struct {
	stream *stream
	at     time.Time
}
