package coordinator

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// demandTable holds the demand reported by the owners of pools. An entry that is
// not refreshed within the TTL expires, and its demand is unknown.
type demandTable struct {
	ttl time.Duration

	mu      sync.Mutex
	entries map[ModelLocation]receivedDemand
}

type receivedDemand struct {
	demand     ModelDemand
	receivedAt time.Time
}

func newDemandTable(ttl time.Duration) *demandTable {
	return &demandTable{ttl: ttl, entries: make(map[ModelLocation]receivedDemand)}
}

// update records the demand for models in a data centre.
func (t *demandTable) update(now time.Time, dc domain.DataCentre, demands []demandEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range demands {
		t.entries[ModelLocation{d.Model, dc}] = receivedDemand{d.Demand, now}
	}
}

// current returns the unexpired entries and deletes the expired ones.
func (t *demandTable) current(now time.Time) map[ModelLocation]ModelDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[ModelLocation]ModelDemand, len(t.entries))
	for location, r := range t.entries {
		if now.Sub(r.receivedAt) > t.ttl {
			delete(t.entries, location)
			continue
		}
		known[location] = r.demand
	}
	return known
}
