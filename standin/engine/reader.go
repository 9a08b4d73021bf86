package engine

import (
	"context"
	"fmt"
	"io"
	"slices"

	"hawthornrill.example/hawthornrill/endpoint"
)

// reader reads a stream from an offset; it implements endpoint.Stream. Its
// fields but wake are guarded by the stream's mutex.
type reader struct {
	stream *stream
	wake   chan struct{}
	next   uint64
	// again holds events that a fault delivers twice or late.
	again  []endpoint.Event
	read   int
	broken bool
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

// Close implements endpoint.Stream. The engine goes on with the request.
func (r *reader) Close() error {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = slices.DeleteFunc(s.readers, func(o *reader) bool { return o == r })
	return nil
}

// poll returns the next event if there is one already.
func (r *reader) poll() (event endpoint.Event, ok bool, err error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.broken || s.faults.DisconnectAfter > 0 && r.read >= s.faults.DisconnectAfter {
		return endpoint.Event{}, false, fmt.Errorf("%w: %w", endpoint.ErrBroken, errCut)
	}
	if event, ok = r.take(); ok {
		r.read++
		return event, true, nil
	}
	return endpoint.Event{}, false, s.endError()
}

// endError is nil while the stream goes on.
func (s *stream) endError() error {
	if s.end == nil || s.end == io.EOF {
		return s.end
	}
	return fmt.Errorf("%w: %w", endpoint.ErrBroken, s.end)
}

// take returns the next event, under the faults that repeat or swap events.
func (r *reader) take() (endpoint.Event, bool) {
	if len(r.again) > 0 {
		event := r.again[0]
		r.again = r.again[1:]
		return event, true
	}
	event, ok := r.stream.event(r.next)
	if !ok {
		return endpoint.Event{}, false
	}
	r.next++
	f := r.stream.faults
	if isEvery(f.DuplicateEvery, event.Offset) {
		r.again = append(r.again, event)
	}
	following, ok := r.stream.event(r.next)
	if !ok || !isEvery(f.SwapEvery, event.Offset) {
		return event, true
	}
	r.next++
	r.again = append(r.again, event)
	return following, true
}

func isEvery(n int, offset uint64) bool { return n > 0 && (offset+1)%uint64(n) == 0 }

func (s *stream) event(offset uint64) (endpoint.Event, bool) {
	if offset >= uint64(len(s.events)) {
		return endpoint.Event{}, false
	}
	return endpoint.Event{Offset: offset, Data: s.events[offset]}, true
}
