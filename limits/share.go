package limits

import "time"

// share is a node's share of the limit on requests, in addition to its reserved
// request. It is immutable.
type share struct {
	requests int
	// limit and pool are the values on which the share is based.
	limit int
	pool  int
	// fromOwner is false if the node has taken an equal part by itself.
	fromOwner  bool
	receivedAt time.Time
	// tokenWait is the time until the owner has more tokens, as stated in its reply.
	tokenWait time.Duration
}

// allowed returns the number of requests in flight allowed by the share under a pool.
// If the pool is smaller than the one on which the share is based, the share is
// reduced proportionally, so that the shares of all nodes still sum to at most the
// pool.
func (s *share) allowed(pool int) int {
	if s.pool > pool {
		return s.requests * pool / s.pool
	}
	return s.requests
}
