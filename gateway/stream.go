package gateway

import (
	"errors"
	"io"
	"net/http"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
)

var (
	errEndpointFailed = errors.New("gateway: the endpoint answered that it failed")
	errUnsigned       = errors.New("gateway: response has no endpoint signature")
	errOtherVersion   = errors.New("gateway: the events are of another software version than those before")
	errTruncatedEvent = errors.New("gateway: stream ended in the middle of an event")
)

// forwardStream forwards complete events as they arrive. The header is sent with the first event, so that a stream that
// breaks off before it can be requested again from the beginning.
func (a *attempt) forwardStream(response *exchange.Response) attemptResult {
	t := a.task
	events := newEventReader(response)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return a.streamEnded(response)
		}
		if err != nil {
			return a.responseLost(err)
		}
		a.recordEvent()
		if !a.recordOrigin(response) {
			return a.responseLost(errOtherVersion)
		}
		if err := a.forwardEvent(response, event); err != nil {
			a.release(capacity.Result{})
			return attemptResult{final: true, abort: true, err: errCallerGone}
		}
		t.eventCount++
		if event.id != "" {
			t.lastEventID = event.id
		}
	}
}

func (a *attempt) forwardEvent(response *exchange.Response, event event) error {
	t := a.task
	if !t.headSent {
		a.forwardHead(response)
	}
	if _, err := t.writer.Write(event.data); err != nil {
		return err
	}
	return http.NewResponseController(t.writer).Flush()
}

func (a *attempt) forwardHead(response *exchange.Response) {
	t := a.task
	h := t.writer.Header()
	copyEndToEndHeader(h, response.Header)
	a.nameEndpoint(h, response)
	h.Del("Content-Length")
	t.headSent = true
	t.writer.WriteHeader(response.StatusCode)
}

// streamEnded completes a stream that ended properly.
func (a *attempt) streamEnded(response *exchange.Response) attemptResult {
	t := a.task
	if !t.headSent {
		a.forwardHead(response)
	}
	t.recordSound()
	a.release(capacity.Result{Complete: true})
	return attemptResult{final: true, status: response.StatusCode}
}

// event is one server-sent event, including its final blank line.
type event struct {
	id   string
	data []byte
}

// eventReader reads complete events from a stream.
type eventReader struct {
	lines lineReader
	// data is the buffer that all events share.
	data []byte
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{lines: newLineReader(r)} }

// next returns the next event, io.EOF after the last one, or an error that wraps endpoint.ErrBroken if the stream is
// truncated or ends in the middle of an event. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	r.data = r.data[:0]
	var e event
	for {
		line, err := r.lines.next()
		r.data = append(r.data, line...)
		switch {
		case errors.Is(err, io.EOF) && len(r.data) == 0:
			return event{}, io.EOF
		case errors.Is(err, io.EOF):
			return event{}, errors.Join(endpoint.ErrBroken, errTruncatedEvent)
		case err != nil:
			return event{}, err
		case len(r.data) > maxEventBytes:
			return event{}, errors.Join(endpoint.ErrBroken, errEventTooLong)
		}
		text := trimLine(line)
		if len(text) == 0 {
			e.data = r.data
			return e, nil
		}
		if id, ok := fieldID(text); ok {
			e.id = id
		}
	}
}
