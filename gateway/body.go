package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/callers"
)

const (
	// smallBodyBytes is the size up to which a body may use the whole budget of bodies.
	smallBodyBytes = 128 << 10
	// largeBodyPart is the part of the budget that larger bodies of the highest tier may use.
	largeBodyPart = 0.75
	// firstBodyBytes is the first size of the buffer for a body: what a caller announces need not come.
	firstBodyBytes = 16 << 10
	// maxDiscardBytes bounds what is read of a refused request's body so that its connection can be kept.
	maxDiscardBytes = 256 << 10
	// discardTime is how long a refusal waits for the rest of a body that has been sent with its head.
	discardTime = 50 * time.Millisecond
	// refusalReadTime is the time in which the caller of a request whose body was not read can read the refusal before its connection
	// is closed.
	refusalReadTime = 500 * time.Millisecond
)

// requestBody is the body of a request and what it holds.
type requestBody struct {
	data     []byte
	reserved bytebudget.Reservation
	// complete is true once the whole body has been read, timedOut if it did not arrive in time.
	complete bool
	timedOut bool
}

// readBody buffers the whole body, so that the endpoint never waits for the caller and the request can be retried.
func (t *task) readBody(limit int64) *problem {
	if t.request.ContentLength == 0 {
		t.body.complete = true
		return nil
	}
	return t.bufferBody(limit, t.timeout)
}

// bufferBody reads the body, which must arrive within the time limit.
func (t *task) bufferBody(limit int64, within time.Duration) *problem {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if t.request.ContentLength > limit {
		return &problem{Status: http.StatusRequestEntityTooLarge, Title: "the body is too long"}
	}
	receiving := callers.BeginBody(t.request.Context())
	defer func() { receiving.End(len(t.body.data)) }()
	t.setReadDeadline(time.Now().Add(within))
	t.body.reserved = t.gateway.bodies.Reserve(largeBodyPart * t.tierPart())
	reader := bytebudget.Reader{Limit: limit + 1, Expected: t.request.ContentLength, First: firstBodyBytes, Free: 1}
	body, err := reader.ReadAll(http.MaxBytesReader(t.writer, t.request.Body, limit), &t.body.reserved)
	t.request.Trailer = nil // not forwarded
	if err != nil {
		return t.bodyFailed(err)
	}
	t.setReadDeadline(time.Time{})
	t.body.data, t.body.complete = body, true
	return nil
}

// bodyFailed returns the refusal of a request whose body could not be read.
func (t *task) bodyFailed(err error) *problem {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &problem{Status: http.StatusRequestEntityTooLarge, Title: "the body is too long"}
	case errors.Is(err, bytebudget.ErrNoRoom):
		callers.Reclaim(t.request.Context())
		return unavailable("the node holds too many request bodies")
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.body.timedOut = true
		return timedOut("the body did not arrive in time")
	default:
		return &problem{Status: http.StatusBadRequest, Title: "the body could not be read", Cause: err}
	}
}

func (t *task) releaseBody() { t.body.reserved.Release() }

// settleBody prepares a response to a request whose body has not been read: the response must not wait for the body, nor the
// connection be used for another request while the body may still come.
func (t *task) settleBody() {
	if t.body.complete || t.request.ContentLength == 0 || t.bodyDiscarded() {
		return
	}
	t.writer.Header().Set("Connection", "close")
	t.setReadDeadline(time.Now().Add(refusalReadTime)) // for net/http, which reads on until it closes the connection
}

// bodyDiscarded reads the rest of a body that has arrived with its head. It reports whether that was all, so that the connection can
// be kept.
func (t *task) bodyDiscarded() bool {
	if t.body.timedOut || t.request.ContentLength > maxDiscardBytes || t.request.Header.Get("Expect") != "" {
		return false
	}
	t.setReadDeadline(time.Now().Add(discardTime))
	_, err := io.CopyN(io.Discard, t.request.Body, maxDiscardBytes+1)
	if !errors.Is(err, io.EOF) {
		return false
	}
	t.setReadDeadline(time.Time{})
	return true
}

// setReadDeadline bounds reads from the caller; the zero time is no bound.
func (t *task) setReadDeadline(until time.Time) {
	_ = http.NewResponseController(t.writer).SetReadDeadline(until) // supported by net/http's server
}
