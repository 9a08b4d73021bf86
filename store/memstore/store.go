package memstore

import (
	"time"

	"golang.org/x/time/rate"

	"hawthornrill.example/hawthornrill/store"
)

// Store is the service, used through clients. Its embedded Faults apply to all of
// them.
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
		writes: newLimiter(options.WritesPerSecond),
		reads:  newLimiter(options.ReadsPerSecond),
	}
}

// NewClient returns a new client of the store, with faults of its own.
func (s *Store) NewClient() *Client {
	return &Client{Faults: newFaults(), store: s}
}

// Counts returns the numbers of calls made through all clients.
func (s *Store) Counts() Counts { return s.counters.snapshot() }

// allow reports whether the rate limit admits a call now.
func (s *Store) allow(operation Operation) bool {
	limiter := s.reads
	if operation.IsWrite() {
		limiter = s.writes
	}
	return limiter == nil || limiter.AllowN(time.Now(), 1)
}

// Snapshot is a copy of the store's content at one time.
type Snapshot struct {
	revision store.Revision
	entries  []store.Entry
}

// Save returns a snapshot of the entries and the revision. Leases are not included.
func (s *Store) Save() Snapshot { return s.state.save() }

// Restore replaces the content by that of a snapshot, as when an operator restores a
// backup: newer entries, leases and the revision counter are lost. Watches stay open.
func (s *Store) Restore(snapshot Snapshot) { s.state.restore(snapshot) }
