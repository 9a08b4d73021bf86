package memstore

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// Client is a client of a Store, with faults of its own, such as a network partition
// between one data centre and the platform.
type Client struct {
	*Faults
	store    *Store
	counters counters
}

var _ store.Store = (*Client)(nil)

// Counts returns the calls made through this client.
func (c *Client) Counts() Counts { return c.counters.snapshot() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	call, err := c.admit(ctx, OperationGet, key)
	if err != nil {
		return store.Entry{}, err
	}
	if err := call.delayRead(ctx); err != nil {
		return store.Entry{}, err
	}
	entry, err := c.store.state.get(key, call.fault.Staleness)
	c.countRead(len(entry.Value))
	return entry, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	call, err := c.admit(ctx, OperationList, prefix)
	if err != nil {
		return nil, err
	}
	if err := call.delayRead(ctx); err != nil {
		return nil, err
	}
	entries := c.store.state.list(prefix, call.fault.Staleness)
	for _, e := range entries {
		c.countRead(len(e.Value))
	}
	return entries, nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, fmt.Errorf("%w: value of %d bytes is over the limit of %d", store.ErrUnavailable, len(value), store.MaxValueBytes)
	}
	c.counters.written.Add(uint64(len(value)))
	c.store.counters.written.Add(uint64(len(value)))
	var revision store.Revision
	err := c.write(ctx, OperationCompareAndSwap, key, func() (err error) {
		revision, err = c.store.state.compareAndSwap(key, expected, value, lease)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	return c.write(ctx, OperationDelete, key, func() error {
		return c.store.state.remove(key, expected)
	})
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := c.write(ctx, OperationGrantLease, "", func() error {
		id = c.store.state.grantLease(ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return c.write(ctx, OperationKeepAlive, "", func() error {
		return c.store.state.keepAlive(lease)
	})
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	return c.write(ctx, OperationRevokeLease, "", func() error {
		return c.store.state.endLease(lease)
	})
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	call, err := c.admit(ctx, OperationWatch, key)
	if err != nil {
		return store.Entry{}, err
	}
	if err := call.delayRead(ctx); err != nil {
		return store.Entry{}, err
	}
	for {
		v, changed := c.store.state.poll(key, after)
		if changed == nil {
			c.countRead(len(v.entry.Value))
			return watchResult(v)
		}
		select {
		case <-changed:
		case <-call.clientDown:
			return store.Entry{}, store.ErrUnavailable
		case <-call.storeDown:
			return store.Entry{}, store.ErrUnavailable
		case <-ctx.Done():
			return store.Entry{}, unavailable(ctx)
		}
	}
}

func watchResult(v version) (store.Entry, error) {
	if v.deleted {
		return store.Entry{}, store.ErrNotFound
	}
	return v.entry, nil
}

func (c *Client) countRead(n int) {
	c.counters.read.Add(uint64(n))
	c.store.counters.read.Add(uint64(n))
}

// unavailable wraps the context's error for a call that had no effect.
func unavailable(ctx context.Context) error {
	return fmt.Errorf("%w: %w", store.ErrUnavailable, context.Cause(ctx))
}
