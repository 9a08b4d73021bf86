package memstore

import (
	"time"

	"golang.org/x/time/rate"

	"hawthornrill.example/hawthornrill/store"
)

// Store is the service itself, used through clients. Its embedded Faults hold
// for all of them.
type Store struct {
	*Faults
	state    *state
	counters counters
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// New returns an empty store.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		Faults: newFaults(),
		state:  newState(options.HistoryRetention),
		writes: limiter(options.WritesPerSecond),
		reads:  limiter(options.ReadsPerSecond),
	}
}

// NewClient returns a further way to the store, with faults of its own.
func (s *Store) NewClient() *Client {
	return &Client{Faults: newFaults(), store: s}
}

// Counts returns the calls made through all clients.
func (s *Store) Counts() Counts { return s.counters.snapshot() }

// allow takes a call from the rate limit.
func (s *Store) allow(operation Operation) bool {
	limit := s.reads
	if operation.IsWrite() {
		limit = s.writes
	}
	return limit == nil || limit.AllowN(time.Now(), 1)
}

// Snapshot is the store's content at some time.
type Snapshot struct {
	revision store.Revision
	entries  []store.Entry
}

// Save returns a copy of the entries and the revision. Leases are left out.
func (s *Store) Save() Snapshot { return s.state.save() }

// Restore brings back an old copy, as an operator would from a backup: newer
// entries, leases and the revision counter are lost. Watches stay open.
func (s *Store) Restore(c Snapshot) { s.state.restore(c) }
