package load

import (
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/service"
)

// ServerRecord is what the endpoints themselves logged in a run.
type ServerRecord struct {
	Engines  map[domain.EndpointID][]engine.Run
	Services map[domain.EndpointID][]service.Run
	Counts   map[domain.EndpointID]engine.Counts
	// Repeated counts prompt tokens of blocks that some engine had computed before.
	Repeated uint64
	// Traffic between nodes and to the store; zero where it can't be seen.
	PeerMessages, PeerBytes  int
	StoreReads, StoreWrites  uint64
	StoreWatches, StoreBytes uint64
}

// callerKey returns the key that the caller sent, the last part of a run's name.
func callerKey(name string) string { return name[strings.LastIndexByte(name, ':')+1:] }

// runsOf counts the runs of each key and notes when the first arrived.
func (w *ServerRecord) runsOf() map[string]runSum {
	sums := make(map[string]runSum)
	note := func(name string, at time.Time) {
		key := callerKey(name)
		s := sums[key]
		if s.runs == 0 || at.Before(s.first) {
			s.first = at
		}
		s.runs++
		sums[key] = s
	}
	for _, runs := range w.Engines {
		for i := range runs {
			note(runs[i].Key, runs[i].Arrived)
		}
	}
	for _, runs := range w.Services {
		for i := range runs {
			note(runs[i].Key, runs[i].At)
		}
	}
	return sums
}

type runSum struct {
	runs  int
	first time.Time
}
