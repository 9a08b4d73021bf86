package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/endpoint"
)

var (
	errTruncatedEvent = errors.New("gateway: stream ended in the middle of an event")
	errEventTooLong   = errors.New("gateway: stream event exceeds the size limit")
)

// event is one server-sent event, including the comments before it and its final blank line.
type event struct {
	id   string
	data []byte
	// trailing is true for what follows the last event, which is none: comments and line ends.
	trailing bool
}

// eventReader reads complete events from a stream, whose lines end in LF, CRLF or CR.
type eventReader struct {
	in *bufio.Reader
	// data is the buffer that all events share.
	data []byte
	// reserved is what the buffer holds beyond freeAnswerBytes.
	reserved *bytebudget.Reservation
	// afterCR is true if the last line ended in CR and an LF that follows belongs to its end.
	afterCR bool
}

// eventBufferBytes is large enough for a typical event.
const eventBufferBytes = 2 << 10

func newEventReader(r io.Reader, reserved *bytebudget.Reservation) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, eventBufferBytes), reserved: reserved}
}

// next returns the next event, io.EOF after the last one, or an error that wraps endpoint.ErrBroken if the stream is
// truncated or ends in the middle of an event, or bytebudget.ErrNoRoom. Blocks without a field are part of the event that follows. The event is valid until
// the next call.
func (r *eventReader) next() (event, error) {
	r.data = r.data[:0]
	e, fields := event{}, false
	for {
		line, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF):
			return r.ended(fields || len(line) > 0)
		case err != nil:
			return event{}, err
		case len(line) == 0 && fields:
			e.data = r.data
			return e, nil
		case len(line) == 0 || line[0] == ':':
			continue
		}
		fields = true
		if id, ok := fieldID(line); ok {
			e.id = id
		}
	}
}

// ended returns what is left at the end of the stream; incomplete is true if that is part of an event.
func (r *eventReader) ended(incomplete bool) (event, error) {
	switch {
	case incomplete:
		return event{}, errors.Join(endpoint.ErrBroken, errTruncatedEvent)
	case len(r.data) > 0:
		return event{data: r.data, trailing: true}, nil
	default:
		return event{}, io.EOF
	}
}

// readLine adds the next line to the data and returns its text. At the end of the stream it returns io.EOF and the text of an
// unfinished line.
func (r *eventReader) readLine() (text []byte, err error) {
	start := len(r.data)
	for {
		if r.in.Buffered() == 0 {
			if _, err := r.in.Peek(1); err != nil {
				return r.data[start:], err
			}
		}
		received, _ := r.in.Peek(r.in.Buffered()) // what is buffered can be peeked at
		if r.afterCR {
			r.afterCR = false
			if received[0] == '\n' {
				r.take(received[:1])
				start = len(r.data)
				continue
			}
		}
		length, end := cutLine(received)
		if end == 0 {
			length, end = len(received), len(received)
		}
		complete := length < end
		r.afterCR = complete && end == len(received) && received[end-1] == '\r'
		if len(r.data)+end > maxEventBytes {
			return nil, errors.Join(endpoint.ErrBroken, errEventTooLong)
		}
		if !r.reserved.Grow(2*int64(len(r.data)+end) - freeAnswerBytes) { // the buffer grows by up to half beyond its contents
			return nil, bytebudget.ErrNoRoom
		}
		r.take(received[:end])
		if complete {
			return r.data[start : len(r.data)-(end-length)], nil
		}
	}
}

// take moves received bytes to the data.
func (r *eventReader) take(received []byte) {
	r.data = append(r.data, received...)
	_, _ = r.in.Discard(len(received)) // they are buffered
}

// cutLine returns the length of the first line and the length with its end, or zeros if it has none.
func cutLine(received []byte) (length, end int) {
	lf := bytes.IndexByte(received, '\n')
	before := received
	if lf >= 0 {
		before = received[:lf]
	}
	cr := bytes.IndexByte(before, '\r')
	switch {
	case cr < 0 && lf < 0:
		return 0, 0
	case cr < 0:
		return lf, lf + 1
	case cr+1 == lf:
		return cr, lf + 1
	default:
		return cr, cr + 1
	}
}

// fieldID returns the value of an event's id field, false if the line is another field.
func fieldID(line []byte) (string, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimSpace(value)), true
}
