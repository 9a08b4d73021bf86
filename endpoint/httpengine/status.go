package httpengine

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"hawthornrill.example/hawthornrill/endpoint"
)

// StatusError is a response with an error status. It wraps endpoint.ErrRefused if the status means
// that the request is not run, together with endpoint.ErrStaleFence for an order rejected for its
// fencing number; endpoint.ErrStreamNotFound for a missing stream; and endpoint.ErrBroken
// otherwise.
type StatusError struct {
	Status int
	// Message is the beginning of the response body.
	Message string
	kind    error
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: status %d: %s", e.kind, e.Status, e.Message)
}

// Unwrap returns the error that classifies the status.
func (e *StatusError) Unwrap() error { return e.kind }

// errStaleFence is the rejection of an order with a stale fencing number.
var errStaleFence = fmt.Errorf("%w: %w", endpoint.ErrRefused, endpoint.ErrStaleFence)

const maxMessageBytes = 512

func newStatusError(response *http.Response) error {
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	e := &StatusError{Status: response.StatusCode, Message: string(message)}
	e.kind = classifyStatus(response.StatusCode)
	if e.Status == http.StatusNotFound && response.Request.Method != http.MethodPost {
		e.kind = endpoint.ErrStreamNotFound
	}
	return e
}

// classifyStatus distinguishes a definite rejection from a response after which the request may
// still be run: timeouts, and errors of the server or of an intermediary.
func classifyStatus(status int) error {
	switch {
	case status == http.StatusRequestTimeout:
		return endpoint.ErrBroken
	case status == http.StatusConflict:
		return errStaleFence
	case status >= 400 && status < 500:
		return endpoint.ErrRefused
	case status == http.StatusServiceUnavailable:
		return endpoint.ErrRefused
	default:
		return endpoint.ErrBroken
	}
}

func isStatus(err error, status int) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Status == status
}
