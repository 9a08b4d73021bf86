package places

import (
	"errors"
	"time"
)

var (
	// ErrNoEndpoint means that the service has no endpoint in service that the request has not excluded.
	ErrNoEndpoint = errors.New("places: no endpoint in service")
	// ErrNoVersion means that the service has no endpoint in service of the version to which the request is bound.
	ErrNoVersion = errors.New("places: no endpoint of the version in service")
	// ErrOverloaded means that the request would start too late.
	ErrOverloaded = errors.New("places: the request would start too late")
	// ErrResting means that all endpoints asked for rest for longer than the request may wait.
	ErrResting = errors.New("places: all endpoints rest")
)

// Refusal is the error for a request that gets no place. It wraps ErrNoEndpoint, ErrNoVersion, ErrOverloaded or
// ErrResting.
type Refusal struct {
	Err error
	// RetryAfter is the delay after which a slot is likely to be free, or an endpoint accepts requests again; zero if nothing is
	// known that would make it so.
	RetryAfter time.Duration
	// Wait is the predicted wait, Ahead the number of requests queued before this one, Free the number of free slots,
	// Limited the number of endpoints whose own limit or rest allows this node no request now.
	Wait    time.Duration
	Ahead   int
	Free    int
	Limited int
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the wrapped error.
func (r *Refusal) Unwrap() error { return r.Err }
