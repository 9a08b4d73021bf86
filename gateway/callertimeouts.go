package gateway

import (
	"sync"
	"time"
)

// callerTimeouts records the longest timeout that callers of each route state. A caller that retries after a refusal states
// a shorter one, and the difference is how long it has been waiting. Its response is already late by that much, so requests
// that can still be on time are served first. The zero value is ready for use.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

const (
	// maxTrackedRoutes bounds the routes recorded; beyond it all records are discarded.
	maxTrackedRoutes = 4096
	// timeoutSpreadFraction is the fraction of the longest timeout by which first attempts may fall short of it. In
	// deployments seen, callers' timeouts are spread evenly over the upper 0.15 of the longest; without this allowance
	// more than half of all first attempts were taken for retries. A refused caller retries with three quarters of its
	// time at most, since Retry-After is a quarter of it or more (see places.Request).
	timeoutSpreadFraction = 0.2
)

// estimatedWait returns how long the caller has been waiting; zero if this is probably its first attempt, or if it states
// no timeout. Left is the timeout stated with this attempt.
func (c *callerTimeouts) estimatedWait(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longest == nil || len(c.longest) >= maxTrackedRoutes {
		c.longest = make(map[string]time.Duration)
	}
	longest := max(c.longest[route], left)
	c.longest[route] = longest
	if spread := time.Duration(timeoutSpreadFraction * float64(longest)); longest-left <= spread {
		return 0
	}
	return longest - left
}
