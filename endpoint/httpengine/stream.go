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
	// readAhead is the number of events read before they are asked for.
	readAhead = 16
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// drainTime is how long a stream that is complete may take to end its
	// connection's response, so that the connection can be used again.
	drainTime = time.Second
	// lastData is the data of the last event of a complete answer.
	lastData = "[DONE]"
)

var errGap = errors.New("httpengine: gap in the stream")

// stream reads the events of an answer. Events come in order without gaps:
// repeated ones are dropped, and one that is missing breaks the stream.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	events chan endpoint.Event
	closed chan struct{}
	once   sync.Once
	// complete is set when the last event has been read.
	complete atomic.Bool
	// err is set before events is closed.
	err error
}

func newStream(body io.ReadCloser, from uint64, cancel context.CancelFunc) *stream {
	s := &stream{
		body:   body,
		cancel: cancel,
		events: make(chan endpoint.Event, readAhead),
		closed: make(chan struct{}),
	}
	go s.run(from)
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
	s.once.Do(func() {
		close(s.closed)
		if !s.complete.Load() {
			s.cancel()
		}
	})
	return nil
}

func (s *stream) run(from uint64) {
	defer s.cancel()
	defer s.body.Close()
	s.err = s.read(from)
	close(s.events)
	if s.err == io.EOF {
		s.drain()
	}
}

// read hands on the events; it returns io.EOF after the last one.
func (s *stream) read(next uint64) error {
	for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
		}
		offset := offsetOf(event, next)
		if offset < next {
			continue
		}
		if offset > next {
			return fmt.Errorf("%w: %w: event %d in place of %d", endpoint.ErrBroken, errGap, offset, next)
		}
		next++
		last := event.Data == lastData
		s.complete.Store(last)
		select {
		case s.events <- endpoint.Event{Offset: offset, Data: []byte(event.Data)}:
		case <-s.closed:
			return fmt.Errorf("%w: closed", endpoint.ErrBroken)
		}
		if last {
			return io.EOF
		}
	}
	return fmt.Errorf("%w: %w", endpoint.ErrBroken, io.ErrUnexpectedEOF)
}

// offsetOf reads the event's offset from its id; without one it is the next. An
// event without an id has that of the one before it; the last event of an answer,
// which comes once, is then taken for the next.
func offsetOf(event sse.Event, next uint64) uint64 {
	offset, err := strconv.ParseUint(event.LastEventID, 10, 64)
	inherited := event.Data == lastData && offset+1 == next
	if err != nil || inherited {
		return next
	}
	return offset
}

func (s *stream) drain() {
	timer := time.AfterFunc(drainTime, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxEventBytes))
}
