package gateway

import (
	"errors"
	"io"
	"net/http"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
)

var (
	errEndpointFailed = errors.New("gateway: the endpoint answered that it failed")
	errUnsigned       = errors.New("gateway: response has no endpoint signature")
	errOtherVersion   = errors.New("gateway: the events are of another software version than those before")
)

// forwardStream forwards complete events as they arrive. The header is sent with the first event, so that a stream that
// breaks off before it can be requested again from the beginning.
func (a *attempt) forwardStream(response *exchange.Response) attemptResult {
	t := a.task
	events := newEventReader(response, &a.answerBytes)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return a.streamEnded(response)
		}
		if err != nil {
			return a.responseLost(err)
		}
		if event.trailing {
			if err := a.forwardEvent(response, event); err != nil {
				return a.callerLost()
			}
			continue
		}
		a.recordEvent()
		if !a.recordOrigin(response) {
			return a.responseLost(errOtherVersion)
		}
		if err := a.forwardEvent(response, event); err != nil {
			return a.callerLost()
		}
		t.eventCount++
		if event.id != "" {
			t.lastEventID = event.id
		}
	}
}

// callerLost ends an attempt whose caller no longer reads.
func (a *attempt) callerLost() attemptResult {
	a.release(capacity.Result{})
	return attemptResult{final: true, abort: true, err: errCallerGone}
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
