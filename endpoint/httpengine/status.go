package httpengine

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"hawthornrill.example/hawthornrill/endpoint"
)

// StatusError is an answer with a status other than success. It wraps
// endpoint.ErrRefused where the status means that the request does not run,
// endpoint.ErrStaleFence beside it for an order so refused,
// endpoint.ErrStreamNotFound for a missing stream, else endpoint.ErrBroken.
type StatusError struct {
	Status int
	// Message is the beginning of the answer's body.
	Message string
	kind    error
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: status %d: %s", e.kind, e.Status, e.Message)
}

// Unwrap returns the kind of error.
func (e *StatusError) Unwrap() error { return e.kind }

// errConflict is the refusal of an order with an old fencing number.
var errConflict = fmt.Errorf("%w: %w", endpoint.ErrRefused, endpoint.ErrStaleFence)

const maxMessageBytes = 512

func readStatus(response *http.Response) error {
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	e := &StatusError{Status: response.StatusCode, Message: string(message)}
	e.kind = statusKind(response.StatusCode)
	if e.Status == http.StatusNotFound && response.Request.Method != http.MethodPost {
		e.kind = endpoint.ErrStreamNotFound
	}
	return e
}

// statusKind tells a certain refusal from an answer that leaves it open whether
// the request runs: timeouts and errors of the server or of something between.
func statusKind(status int) error {
	switch {
	case status == http.StatusRequestTimeout:
		return endpoint.ErrBroken
	case status == http.StatusConflict:
		return errConflict
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
