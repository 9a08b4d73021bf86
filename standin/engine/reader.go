package engine

import (
	"context"
	"fmt"
	"io"
	"slices"

	"hawthornrill.example/hawthornrill/endpoint"
)

// reader reads a stream from an offset; it implements endpoint.Stream. All fields
// but wake are guarded by the stream's mutex.
type reader struct {
	stream *stream
	wake   chan struct{}
	next   uint64
	// pending holds events that a fault delivers a second time or late.
	pending      []endpoint.Event
	delivered    int
	disconnected bool
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

// Close implements endpoint.Stream. The request keeps running.
func (r *reader) Close() error {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = slices.DeleteFunc(s.readers, func(o *reader) bool { return o == r })
	return nil
}

// poll returns the next event if one is available.
func (r *reader) poll() (event endpoint.Event, ok bool, err error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.disconnected || s.faults.DisconnectAfter > 0 && r.delivered >= s.faults.DisconnectAfter {
		return endpoint.Event{}, false, fmt.Errorf("%w: %w", endpoint.ErrBroken, errDisconnected)
	}
	if event, ok = r.nextEvent(); ok {
		r.delivered++
		return event, true, nil
	}
	return endpoint.Event{}, false, s.endError()
}

// endError returns why the stream ended, or nil while it is open.
func (s *stream) endError() error {
	if s.end == nil || s.end == io.EOF {
		return s.end
	}
	return fmt.Errorf("%w: %w", endpoint.ErrBroken, s.end)
}

// nextEvent returns the next event, after applying the faults that duplicate or
// swap events.
func (r *reader) nextEvent() (endpoint.Event, bool) {
	if len(r.pending) > 0 {
		event := r.pending[0]
		r.pending = r.pending[1:]
		return event, true
	}
	event, ok := r.stream.eventAt(r.next)
	if !ok {
		return endpoint.Event{}, false
	}
	r.next++
	f := r.stream.faults
	if isNth(f.DuplicateEvery, event.Offset) {
		r.pending = append(r.pending, event)
	}
	following, ok := r.stream.eventAt(r.next)
	if !ok || !isNth(f.SwapEvery, event.Offset) {
		return event, true
	}
	r.next++
	r.pending = append(r.pending, event)
	return following, true
}

func isNth(n int, offset uint64) bool { return n > 0 && (offset+1)%uint64(n) == 0 }

func (s *stream) eventAt(offset uint64) (endpoint.Event, bool) {
	if offset >= uint64(len(s.events)) {
		return endpoint.Event{}, false
	}
	return endpoint.Event{Offset: offset, Data: s.events[offset]}, true
}
