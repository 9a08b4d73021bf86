package store

import (
	"errors"
	"fmt"
	"time"
)

// RetryLaterError is the error of a call that the store refused, asking for no further calls for a while. It wraps
// ErrUnavailable.
type RetryLaterError struct {
	Status int
	// After is how long the store wants no calls from this process.
	After time.Duration
}

// Error implements error.
func (e *RetryLaterError) Error() string {
	return fmt.Sprintf("%v: status %d, retry after %v", ErrUnavailable, e.Status, e.After)
}

// Unwrap returns ErrUnavailable.
func (e *RetryLaterError) Unwrap() error { return ErrUnavailable }

// RetryDelay returns how long the store asked to be left alone, zero if err does not say.
func RetryDelay(err error) time.Duration {
	var later *RetryLaterError
	if errors.As(err, &later) {
		return later.After
	}
	return 0
}
