package gateway

import (
	"errors"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/bytebudget"
)

const (
	// smallBodyBytes is the size up to which a body may use the whole budget of bodies.
	smallBodyBytes = 128 << 10
	// largeBodyPart is the part of the budget that larger bodies of the highest tier may use.
	largeBodyPart = 0.75
	// firstBodyBytes is the first size of the buffer for a body: what a caller announces need not come.
	firstBodyBytes = 16 << 10
)

// requestBody is the body of a request and what it holds.
type requestBody struct {
	data     []byte
	reserved bytebudget.Reservation
}

// readBody buffers the whole body, so that the endpoint never waits for the caller and the request can be retried.
func (t *task) readBody(limit int64) *problem {
	if t.request.ContentLength == 0 {
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
	t.setReadDeadline(time.Now().Add(within))
	defer t.setReadDeadline(time.Time{})
	t.body.reserved = t.gateway.bodies.Reserve(largeBodyPart * t.tierPart())
	reader := bytebudget.Reader{Limit: limit + 1, Expected: t.request.ContentLength, First: firstBodyBytes, Free: 1}
	body, err := reader.ReadAll(http.MaxBytesReader(t.writer, t.request.Body, limit), &t.body.reserved)
	t.request.Trailer = nil // not forwarded
	if err != nil {
		return t.bodyFailed(err)
	}
	t.body.data = body
	return nil
}

// bodyFailed returns the refusal of a request whose body could not be read.
func (t *task) bodyFailed(err error) *problem {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &problem{Status: http.StatusRequestEntityTooLarge, Title: "the body is too long"}
	case errors.Is(err, bytebudget.ErrNoRoom):
		return unavailable("the node holds too many request bodies")
	default:
		return &problem{Status: http.StatusBadRequest, Title: "the body could not be read", Cause: err}
	}
}

func (t *task) releaseBody() { t.body.reserved.Release() }

// setReadDeadline bounds reads from the caller; the zero time is no bound.
func (t *task) setReadDeadline(until time.Time) {
	_ = http.NewResponseController(t.writer).SetReadDeadline(until) // supported by net/http's server
}
