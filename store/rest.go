package store

import (
	"fmt"
	"time"
)

// RestError means that a call was not sent, since the store has asked for a rest that is not over. It wraps ErrUnavailable.
type RestError struct {
	// Left is how long the rest lasts.
	Left time.Duration
}

// Error implements error.
func (e *RestError) Error() string {
	return fmt.Sprintf("%v: it asked for a rest, %v left", ErrUnavailable, e.Left)
}

// Unwrap returns ErrUnavailable.
func (e *RestError) Unwrap() error { return ErrUnavailable }
