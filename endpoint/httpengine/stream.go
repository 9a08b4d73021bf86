package httpengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"hawthornrill.example/hawthornrill/endpoint"
)

const (
	// readAheadEvents is the number of events read in advance of Next.
	readAheadEvents = 16
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// drainTimeout limits the time to read the rest of the response after the last event, so that
	// the connection can be reused.
	drainTimeout = time.Second
	// doneMarker is the data of the last event of a complete answer.
	doneMarker = "[DONE]"
)

var errGap = errors.New("httpengine: missing event")

// stream reads the events of an answer. Events are delivered in order without gaps: repeated ones
// are discarded, and a missing one breaks the stream.
type stream struct {
	body      io.ReadCloser
	cancel    context.CancelFunc
	events    chan endpoint.Event
	closed    chan struct{}
	closeOnce sync.Once
	// complete is true once the last event has been read.
	complete atomic.Bool
	// err is set before events is closed.
	err error
}

func newStream(body io.ReadCloser, from uint64, cancel context.CancelFunc) *stream {
	s := &stream{
		body:   body,
		cancel: cancel,
		events: make(chan endpoint.Event, readAheadEvents),
		closed: make(chan struct{}),
	}
	go s.readLoop(from)
	return s
}

// Next implements endpoint.Stream.
func (s *stream) Next(ctx context.Context) (endpoint.Event, error) {
	select {
	case event, ok := <-s.events:
		if !ok {
			return endpoint.Event{}, s.err
		}
		return event, nil
	case <-ctx.Done():
		return endpoint.Event{}, context.Cause(ctx)
	}
}

// Close implements endpoint.Stream.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		close(s.closed)
		if !s.complete.Load() {
			s.cancel()
		}
	})
	return nil
}

func (s *stream) readLoop(from uint64) {
	defer s.cancel()
	defer s.body.Close()
	s.err = s.read(from)
	close(s.events)
	if s.err == io.EOF {
		s.drain()
	}
}

// read sends the events to the channel. It returns io.EOF after the last one.
func (s *stream) read(next uint64) error {
	source := newEventSource(s.body)
	defer source.release()
	for event, err := range sse.Read(source, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		source.release()
		if err != nil {
			return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
		}
		offset := offsetOf(event, next)
		if offset < next {
			continue
		}
		if offset > next {
			return fmt.Errorf("%w: %w: got event %d, want %d", endpoint.ErrBroken, errGap, offset, next)
		}
		next++
		last := event.Data == doneMarker
		s.complete.Store(last)
		select {
		case s.events <- endpoint.Event{Offset: offset, Data: []byte(event.Data)}:
		case <-s.closed:
			return fmt.Errorf("%w: stream closed by the reader", endpoint.ErrBroken)
		}
		if last {
			return io.EOF
		}
	}
	return fmt.Errorf("%w: %w", endpoint.ErrBroken, io.ErrUnexpectedEOF)
}

// offsetOf returns the offset in the event's id, or next if there is none. An event without an id
// inherits the id of the previous event; the last event of an answer, which is sent only once, then
// gets offset next.
func offsetOf(event sse.Event, next uint64) uint64 {
	offset, err := strconv.ParseUint(event.LastEventID, 10, 64)
	inherited := event.Data == doneMarker && offset+1 == next
	if err != nil || inherited {
		return next
	}
	return offset
}

func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxEventBytes))
}
