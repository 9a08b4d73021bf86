package lease

import "errors"

var (
	// ErrHeld means that another process holds the lease.
	ErrHeld = errors.New("lease: held by another process")
	// ErrLost means that this process no longer holds the lease, or can't be sure
	// that it does.
	ErrLost = errors.New("lease: lost")
	// ErrNotAcquired means that the calls to the store failed. Whatever was written
	// expires by itself.
	ErrNotAcquired = errors.New("lease: not acquired")
)
