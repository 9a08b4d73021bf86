package gateway

import (
	"bytes"
	"io"
	"net/http"

	"hawthornrill.example/hawthornrill/callers"
)

// FinalResponse returns the response, in its form on the wire, to a request that the node does not read because it closes the
// connection: 408 with the outcome "not_run" and the time after which another attempt may be made.
func FinalResponse() []byte {
	return timedOut("the connection was closed before a request was read").wire()
}

// HeadRefusals returns the responses, in their form on the wire, to requests that are refused before their head has been read.
func HeadRefusals() callers.HeadRefusals {
	return callers.HeadRefusals{
		TooLong: headTooLong().wire(),
		NoRoom:  headNoRoom().wire(),
		TooSlow: timedOut("the request head did not arrive in time").wire(),
	}
}

func timedOut(title string) *problem {
	return &problem{Status: http.StatusRequestTimeout, Title: title, Outcome: outcomeNotRun, RetryAfter: shortRetryAfter}
}

func headTooLong() *problem {
	return &problem{Status: http.StatusRequestHeaderFieldsTooLarge, Title: "the head is too long"}
}

func headNoRoom() *problem { return unavailable("the node holds too many request heads") }

// wire returns the response in its form on the wire. It asks the caller to close the connection.
func (p *problem) wire() []byte {
	response := http.Response{StatusCode: p.Status, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true}
	body := p.header(response.Header)
	response.ContentLength = int64(len(body))
	response.Body = io.NopCloser(bytes.NewReader(body))
	var wire bytes.Buffer
	_ = response.Write(&wire) // a buffer and a complete body don't fail
	return wire.Bytes()
}
