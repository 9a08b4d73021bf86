package coordinator

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// demandBoard holds what the owners of pools have told of the demand. What was
// not told again for a time is unknown.
type demandBoard struct {
	ttl time.Duration

	mu    sync.Mutex
	heard map[ModelLocation]heardLoad
}

type heardLoad struct {
	load ModelDemand
	at   time.Time
}

func newDemandBoard(ttl time.Duration) *demandBoard {
	return &demandBoard{ttl: ttl, heard: make(map[ModelLocation]heardLoad)}
}

// hear notes the loads of a data centre.
func (b *demandBoard) hear(now time.Time, dc domain.DataCentre, loads []modelLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range loads {
		b.heard[ModelLocation{l.Model, dc}] = heardLoad{l.Demand, now}
	}
}

// current returns what is known, and forgets the rest.
func (b *demandBoard) current(now time.Time) map[ModelLocation]ModelDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[ModelLocation]ModelDemand, len(b.heard))
	for place, h := range b.heard {
		if now.Sub(h.at) > b.ttl {
			delete(b.heard, place)
			continue
		}
		known[place] = h.load
	}
	return known
}
