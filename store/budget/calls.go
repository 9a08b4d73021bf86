package budget

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// Values of the metrics label operation.
const (
	operationGet            = "get"
	operationList           = "list"
	operationCompareAndSwap = "compare_and_swap"
	operationDelete         = "delete"
	operationWatch          = "watch"
	operationGrantLease     = "grant_lease"
	operationKeepAlive      = "keep_alive"
	operationRevokeLease    = "revoke_lease"
)

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(ctx, operationGet, func() error {
		entry, err = s.inner.Get(ctx, key)
		return err
	})
	s.meters.recordRead(purposeOf(ctx), len(entry.Value))
	return entry, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (entries []store.Entry, err error) {
	err = s.do(ctx, operationList, func() error {
		entries, err = s.inner.List(ctx, prefix)
		return err
	})
	for _, entry := range entries {
		s.meters.recordRead(purposeOf(ctx), len(entry.Value))
	}
	return entries, err
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (revision store.Revision, err error) {
	err = s.do(ctx, operationCompareAndSwap, func() error {
		s.meters.recordWrite(purposeOf(ctx), len(value))
		revision, err = s.inner.CompareAndSwap(ctx, key, expected, value, lease)
		return err
	})
	return revision, err
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	return s.do(ctx, operationDelete, func() error { return s.inner.Delete(ctx, key, expected) })
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after store.Revision) (entry store.Entry, err error) {
	err = s.do(ctx, operationWatch, func() error {
		entry, err = s.inner.Watch(ctx, key, after)
		return err
	})
	s.meters.recordRead(purposeOf(ctx), len(entry.Value))
	return entry, err
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (lease store.LeaseID, err error) {
	err = s.do(ctx, operationGrantLease, func() error {
		lease, err = s.inner.GrantLease(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return s.do(ctx, operationKeepAlive, func() error { return s.inner.KeepAlive(ctx, lease) })
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	return s.do(ctx, operationRevokeLease, func() error { return s.inner.RevokeLease(ctx, lease) })
}
