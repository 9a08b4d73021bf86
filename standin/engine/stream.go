package engine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// stream holds the events of one answer, from the first on.
type stream struct {
	key      string
	sequence *sequence // guarded by the engine's mutex

	mu      sync.Mutex
	events  [][]byte
	end     error // nil while open, io.EOF when complete
	readers []*reader
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

// reader reads a stream from an offset; it implements endpoint.Stream.
type reader struct {
	stream *stream
	next   uint64
	wake   chan struct{}
}

func (s *stream) reader(from uint64) *reader {
	r := &reader{stream: s, next: from, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = append(s.readers, r)
	return r
}

// Next implements endpoint.Stream.
func (r *reader) Next(ctx context.Context) (endpoint.Event, error) {
	for {
		event, ok, err := r.poll()
		if ok || err != nil {
			return event, err
		}
		select {
		case <-r.wake:
		case <-ctx.Done():
			return endpoint.Event{}, context.Cause(ctx)
		}
	}
}

// poll returns the next event if there is one already.
func (r *reader) poll() (event endpoint.Event, ok bool, err error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.next < uint64(len(s.events)) {
		event = endpoint.Event{Offset: r.next, Data: s.events[r.next]}
		r.next++
		return event, true, nil
	}
	switch {
	case s.end == nil:
		return endpoint.Event{}, false, nil
	case s.end == io.EOF:
		return endpoint.Event{}, false, io.EOF
	default:
		return endpoint.Event{}, false, fmt.Errorf("%w: %w", endpoint.ErrBroken, s.end)
	}
}

// Close implements endpoint.Stream. The engine goes on with the request.
func (r *reader) Close() error {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.readers {
		if other == r {
			s.readers = append(s.readers[:i], s.readers[i+1:]...)
			break
		}
	}
	return nil
}

// endedStream is a stream that is kept for a while after its end.
type endedStream struct {
	stream *stream
	at     time.Time
}
