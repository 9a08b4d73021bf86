package lease

import "errors"

var (
	// ErrHeld means that another process holds the lease.
	ErrHeld = errors.New("lease: held by another")
	// ErrLost means that this process does not hold the lease any more, or can't
	// be sure that it does.
	ErrLost = errors.New("lease: lost")
	// ErrNotAcquired means that the store could not be asked. Whatever was written
	// lapses by itself.
	ErrNotAcquired = errors.New("lease: not acquired")
)
