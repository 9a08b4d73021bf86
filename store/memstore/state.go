package memstore

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// state is the store's content. Its methods take effect immediately and inject no
// faults.
type state struct {
	mu          sync.Mutex
	retention   time.Duration
	revision    store.Revision
	records     map[string]*record
	leases      map[store.LeaseID]*lease
	lastLeaseID store.LeaseID
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

func newState(retention time.Duration) *state {
	return &state{
		retention: retention,
		records:   make(map[string]*record),
		leases:    make(map[store.LeaseID]*lease),
	}
}

// record returns the key's record, creating an empty one if there is none.
func (s *state) record(key string) *record {
	r, ok := s.records[key]
	if !ok {
		r = newRecord()
		s.records[key] = r
	}
	return r
}

func (s *state) get(key string, staleness time.Duration) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	v, ok := r.at(time.Now().Add(-staleness))
	if !ok || v.deleted {
		return store.Entry{}, store.ErrNotFound
	}
	return copyEntry(v.entry), nil
}

func (s *state) list(prefix string, staleness time.Duration) []store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked(prefix, time.Now().Add(-staleness))
}

func (s *state) listLocked(prefix string, at time.Time) []store.Entry {
	var entries []store.Entry
	for key, r := range s.records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if v, ok := r.at(at); ok && !v.deleted {
			entries = append(entries, copyEntry(v.entry))
		}
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

func (s *state) compareAndSwap(key string, expected store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(key)
	if r.revision() != expected {
		return 0, store.ErrConflict
	}
	if id != 0 {
		l, ok := s.leases[id]
		if !ok {
			return 0, store.ErrLeaseNotFound
		}
		l.keys[key] = struct{}{}
	}
	s.detachFromLease(r, key)
	entry := store.Entry{Key: key, Value: bytes.Clone(value), Lease: id}
	return s.write(r, entry, false), nil
}

// detachFromLease removes the key from the lease of the value that is being
// replaced or deleted.
func (s *state) detachFromLease(r *record, key string) {
	v, ok := r.last()
	if !ok || v.deleted {
		return
	}
	if l, ok := s.leases[v.entry.Lease]; ok {
		delete(l.keys, key)
	}
}

func (s *state) write(r *record, entry store.Entry, deleted bool) store.Revision {
	s.revision++
	entry.Revision = s.revision
	now := time.Now()
	r.push(version{entry: entry, deleted: deleted, at: now}, now.Add(-s.retention))
	return s.revision
}

func (s *state) remove(key string, expected store.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	if !ok || r.revision() == 0 {
		return store.ErrNotFound
	}
	if r.revision() != expected {
		return store.ErrConflict
	}
	s.detachFromLease(r, key)
	s.write(r, store.Entry{Key: key}, true)
	return nil
}

// poll returns the newest version if its revision is greater than after, or else a
// channel that is closed at the key's next write.
func (s *state) poll(key string, after store.Revision) (v version, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(key)
	last, ok := r.last()
	if ok && last.entry.Revision > after {
		last.entry = copyEntry(last.entry)
		return last, nil
	}
	return version{}, r.changed
}

func copyEntry(e store.Entry) store.Entry {
	e.Value = bytes.Clone(e.Value)
	return e
}

func (s *state) save() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, entries: s.listLocked("", time.Now())}
}

func (s *state) restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
	}
	for _, r := range s.records {
		r.versions = nil
		close(r.changed)
		r.changed = make(chan struct{})
	}
	s.revision = snapshot.revision
	for _, e := range snapshot.entries {
		e = copyEntry(e)
		e.Lease = 0
		s.record(e.Key).push(version{entry: e, at: time.Now()}, time.Now())
	}
}
