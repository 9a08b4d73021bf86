package gateway

import (
	"sync"
	"time"
)

// patience learns how long the callers of each route wait at the most. A caller that comes again after a refusal says
// that it will wait for less, which tells how long it has been waiting. Its answer is late by that much already, so that
// requests that can still be on time go first. The zero value is ready for use.
type patience struct {
	mu   sync.Mutex
	most map[string]time.Duration
}

const (
	// maxRoutes bounds the routes remembered; beyond it all are learned anew.
	maxRoutes = 4096
	// patienceSpread is the part by which the times that callers of a route state at their first attempt differ. In
	// deployments seen they are spread evenly over the upper 0.15 of the greatest; without it more than half of all
	// first attempts were taken for late ones. A refused caller comes back with three quarters of its time at the most,
	// since it is told to wait for a quarter of it or more (see places.Request).
	patienceSpread = 0.2
)

// waited returns how long the caller has been waiting; zero if this is probably its first attempt, or if it does not say
// how long it will wait.
func (p *patience) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil || len(p.most) >= maxRoutes {
		p.most = make(map[string]time.Duration)
	}
	most := max(p.most[route], left)
	p.most[route] = most
	if spread := time.Duration(patienceSpread * float64(most)); most-left <= spread {
		return 0
	}
	return most - left
}
