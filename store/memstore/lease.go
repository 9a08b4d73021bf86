package memstore

import (
	"time"

	"hawthornrill.example/hawthornrill/store"
)

func (s *state) grantLease(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	s.leases[id] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { _ = s.endLease(id) }),
		keys:  make(map[string]struct{}),
	}
	return id
}

func (s *state) keepAlive(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	if !l.timer.Stop() {
		// The lease has expired; endLease is waiting for the mutex.
		return store.ErrLeaseNotFound
	}
	l.timer.Reset(l.ttl)
	return nil
}

// endLease removes the lease and its entries atomically.
func (s *state) endLease(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key := range l.keys {
		s.write(s.records[key], store.Entry{Key: key}, true)
	}
	return nil
}
