package budget

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// The operations as they stand in metrics.
const (
	operationGet       = "get"
	operationList      = "list"
	operationSwap      = "compare_and_swap"
	operationDelete    = "delete"
	operationWatch     = "watch"
	operationGrant     = "grant_lease"
	operationKeepAlive = "keep_alive"
	operationRevoke    = "revoke_lease"
)

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(ctx, operationGet, func() error {
		entry, err = s.inner.Get(ctx, key)
		return err
	})
	s.meters.read(purposeOf(ctx), len(entry.Value))
	return entry, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (entries []store.Entry, err error) {
	err = s.do(ctx, operationList, func() error {
		entries, err = s.inner.List(ctx, prefix)
		return err
	})
	for _, entry := range entries {
		s.meters.read(purposeOf(ctx), len(entry.Value))
	}
	return entries, err
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (revision store.Revision, err error) {
	err = s.do(ctx, operationSwap, func() error {
		s.meters.wrote(purposeOf(ctx), len(value))
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
	s.meters.read(purposeOf(ctx), len(entry.Value))
	return entry, err
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (lease store.LeaseID, err error) {
	err = s.do(ctx, operationGrant, func() error {
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
	return s.do(ctx, operationRevoke, func() error { return s.inner.RevokeLease(ctx, lease) })
}
