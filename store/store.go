// Package store is the interface to the platform's key-value service, which
// offers compare-and-swap, leases and watches. The service is rate limited and has
// outages, so nothing that happens once per request may depend on it.
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
	// write is guaranteed to have had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the call is guaranteed to have had no effect: it
	// was not sent, or the store refused it.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("store: lease not found")
)

// Revision orders all writes to the store: it increases with every write.
type Revision uint64

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Entry is a key with its value. Revision is the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Store is the platform's key-value service. Values hold at most MaxValueBytes.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision equals expected; zero means
	// that the key must not exist. An entry with a lease is removed when the lease
	// ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision equals expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until the key's revision is greater than after and returns the
	// entry, or ErrNotFound if it has been deleted since. Only one Watch call may be
	// in progress at a time.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// GrantLease starts a lease that expires ttl after the store granted it.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease for its ttl, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends the lease and removes its entries.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20
