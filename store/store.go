// Package store is the seam to the platform's key-value service, which has
// compare-and-swap, leases and watches, a rate limit and outages. Nothing that
// happens once per request may go through it.
package store

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's revision was not the expected one; the
	// write certainly had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the call certainly had no effect: it was not sent,
	// or the store refused it.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("store: lease not found")
)

// Revision orders all writes to the store; a later write has a greater one.
type Revision uint64

// LeaseID names a lease; zero means no lease.
type LeaseID uint64

// Entry is a key with its value. Revision is that of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Store is the platform's service. Values hold at most MaxValueBytes.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is expected; zero means
	// that the key must not exist. The entry vanishes with its lease, if any.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until the key's revision is greater than after and returns the
	// entry, or ErrNotFound if it has been deleted since. One call at a time.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// GrantLease starts a lease that lapses ttl after the store's grant.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its ttl, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends the lease and removes its entries.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20
