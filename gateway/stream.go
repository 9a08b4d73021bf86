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
	errUnsigned       = errors.New("gateway: the answer bears no signature of an endpoint")
	errTornEvent      = errors.New("gateway: the stream ended within an event")
)

// passStream passes whole events on as they come. The head goes with the first event, so that a stream that breaks off
// before it can be asked for again as a new one.
func (d *dispatched) passStream(answer *exchange.Answer) step {
	t := d.task
	events := newEventReader(answer)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return d.ended(answer)
		}
		if err != nil {
			return d.broken(err)
		}
		d.heard()
		if err := d.passEvent(answer, event); err != nil {
			d.release(capacity.Result{})
			return step{done: true, abort: true, err: errCallerGone}
		}
		t.events++
		if event.id != "" {
			t.lastEvent = event.id
		}
	}
}

func (d *dispatched) passEvent(answer *exchange.Answer, event event) error {
	t := d.task
	if !t.headSent {
		d.passHead(answer)
	}
	if _, err := t.writer.Write(event.data); err != nil {
		return err
	}
	return http.NewResponseController(t.writer).Flush()
}

func (d *dispatched) passHead(answer *exchange.Answer) {
	t := d.task
	h := t.writer.Header()
	copyHeader(h, answer.Header)
	h.Del("Content-Length")
	t.headSent = true
	t.writer.WriteHeader(answer.StatusCode)
}

// ended is the proper end of a stream.
func (d *dispatched) ended(answer *exchange.Answer) step {
	t := d.task
	if !t.headSent {
		d.passHead(answer)
	}
	t.gateway.parts.Quarantine.Completed(t.content)
	d.release(capacity.Result{Complete: true})
	return step{done: true, status: answer.StatusCode}
}

// event is one event of a stream with its blank line.
type event struct {
	id   string
	data []byte
}

// eventReader reads whole events.
type eventReader struct {
	lines lineReader
	// data is used again by each event.
	data []byte
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{lines: newLineReader(r)} }

// next returns the next event, io.EOF after the last one, and an error that wraps endpoint.ErrBroken if the stream
// ends before its end mark or within an event. The event is valid until the next call.
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
			return event{}, errors.Join(endpoint.ErrBroken, errTornEvent)
		case err != nil:
			return event{}, err
		case len(r.data) > maxEventBytes:
			return event{}, errors.Join(endpoint.ErrBroken, errLongEvent)
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
