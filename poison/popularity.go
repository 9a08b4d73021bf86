package poison

import (
	"sync"
	"time"
)

// popularity counts how often parts are in prompts. It is bounded: a part beyond maxCountedPerScope or maxCounted counts as absent until the next
// generation.
type popularity struct {
	mu             sync.Mutex
	recent, older  generation
	recentStarted  time.Time
	countedByScope map[uint64]int
}

// generation holds counts by part and the numbers of requests by service.
type generation struct {
	parts    map[partKey]int
	requests map[string]int
}

func newGeneration() generation {
	return generation{parts: make(map[partKey]int), requests: make(map[string]int)}
}

// add counts a request with the parts.
func (p *popularity) add(now time.Time, scope uint64, service string, parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recent.parts == nil || now.Sub(p.recentStarted) >= countPeriod {
		p.older, p.recent, p.recentStarted = p.recent, newGeneration(), now
		p.countedByScope = make(map[uint64]int)
	}
	p.recent.requests[service]++
	for _, part := range parts {
		k := partKey{scope, part}
		if p.recent.parts[k] == 0 {
			if p.countedByScope[scope] >= maxCountedPerScope || len(p.recent.parts) >= maxCounted {
				continue
			}
			p.countedByScope[scope]++
		}
		p.recent.parts[k]++
	}
}

// share returns the share of the service's requests that have the part.
func (p *popularity) share(scope uint64, service string, part uint64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	requests := p.recent.requests[service] + p.older.requests[service]
	if requests == 0 {
		return 0
	}
	k := partKey{scope, part}
	return float64(p.recent.parts[k]+p.older.parts[k]) / float64(requests)
}
