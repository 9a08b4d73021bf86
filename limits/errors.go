package limits

import (
	"errors"
	"time"
)

var (
	// ErrInFlight means that the organisation has as many requests in flight as it may.
	ErrInFlight = errors.New("limits: too many requests in flight")
	// ErrTokenRate means that the organisation has used its tokens of the minute.
	ErrTokenRate = errors.New("limits: too many tokens a minute")
)

// Error is a refusal. It wraps one of the errors above.
type Error struct {
	Err error
	// RetryAfter is when it may be worth trying again.
	RetryAfter time.Duration
}

// Error returns the reason's text.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }
