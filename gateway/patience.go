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

// maxRoutes bounds the routes remembered; beyond it all are learned anew.
const maxRoutes = 4096

// waited returns how long the caller has been waiting; zero if it does not say how long it will wait.
func (p *patience) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil || len(p.most) >= maxRoutes {
		p.most = make(map[string]time.Duration)
	}
	p.most[route] = max(p.most[route], left)
	return p.most[route] - left
}
