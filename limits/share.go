package limits

import "time"

// share is the part of the limit on requests that a node may use, beyond what each
// node may always use. It is immutable.
type share struct {
	requests int
	// limit and pool are those of which it is a part.
	limit int
	pool  int
	// owned is false if no owner gave it.
	owned bool
	at    time.Time
	// wait is how long it takes until there are more tokens, as the owner said.
	wait time.Duration
}

// allowed returns the requests of a pool that may be in flight. A smaller pool than
// that of which the share is a part shrinks it at once, so that the shares of all
// nodes still sum to no more than the pool.
func (s *share) allowed(pool int) int {
	if s.pool > pool {
		return s.requests * pool / s.pool
	}
	return s.requests
}
