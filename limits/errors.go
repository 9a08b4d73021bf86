package limits

import (
	"errors"
	"time"
)

var (
	// ErrInFlight means that the organisation has reached its limit of requests in
	// flight.
	ErrInFlight = errors.New("limits: too many requests in flight")
	// ErrTokenRate means that the organisation has used its tokens per minute.
	ErrTokenRate = errors.New("limits: too many tokens a minute")
)

// Error is a refusal. It wraps ErrInFlight or ErrTokenRate.
type Error struct {
	Err error
	// RetryAfter is the recommended delay before another attempt.
	RetryAfter time.Duration
}

func (e *Error) Error() string { return e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }
