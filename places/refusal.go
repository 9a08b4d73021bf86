package places

import (
	"errors"
	"time"
)

var (
	// ErrNoEndpoint means that the service has no endpoint in service that the request has not tried.
	ErrNoEndpoint = errors.New("places: no endpoint in service")
	// ErrOverloaded means that the request would start too late.
	ErrOverloaded = errors.New("places: the request would start too late")
)

// Refusal says why there is no place and when to come back. It wraps one of the errors above.
type Refusal struct {
	Err error
	// RetryAfter is when a place is likely.
	RetryAfter time.Duration
	// Wait is the predicted wait, Ahead the number of requests waiting before this one, Free the number of places free,
	// Limited that of endpoints at which their own limit leaves this node nothing now.
	Wait    time.Duration
	Ahead   int
	Free    int
	Limited int
}

// Error returns the reason's text.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Err }
