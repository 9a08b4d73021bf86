package load

import (
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/service"
)

// ServerRecord is the server-side record of a run: the endpoints' logs and counters, and
// the traffic between nodes and to the store.
type ServerRecord struct {
	Engines  map[domain.EndpointID][]engine.Run
	Services map[domain.EndpointID][]service.Run
	Counts   map[domain.EndpointID]engine.Counts
	// Repeated counts the prompt tokens of blocks that some engine had already computed.
	Repeated uint64
	// Traffic between nodes and to the store; zero if it cannot be observed.
	PeerMessages, PeerBytes  int
	StoreReads, StoreWrites  uint64
	StoreWatches, StoreBytes uint64
}

// idempotencyKey returns the idempotency key that the caller sent: the part of an
// endpoint's key after the last colon.
func idempotencyKey(name string) string { return name[strings.LastIndexByte(name, ':')+1:] }

// runsByKey returns, for each idempotency key, the number of runs and the arrival of the
// first one.
func (s *ServerRecord) runsByKey() map[string]runCount {
	counts := make(map[string]runCount)
	add := func(name string, at time.Time) {
		key := idempotencyKey(name)
		c := counts[key]
		if c.runs == 0 || at.Before(c.first) {
			c.first = at
		}
		c.runs++
		counts[key] = c
	}
	for _, runs := range s.Engines {
		for i := range runs {
			add(runs[i].Key, runs[i].Arrived)
		}
	}
	for _, runs := range s.Services {
		for i := range runs {
			add(runs[i].Key, runs[i].At)
		}
	}
	return counts
}

type runCount struct {
	runs  int
	first time.Time
}
