package lease

import (
	"context"
	"errors"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// Campaign acquires the lease again and again until the context ends, and calls
// lead each time. The context given to lead ends when the lease is lost; the
// lease is released when lead returns. While another process holds the lease,
// Campaign waits by a watch, one call at a time.
func Campaign(ctx context.Context, s store.Store, key string, options Options, lead func(ctx context.Context, l *Lease)) error {
	o := options.withDefaults()
	if err := o.check(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		l, err := Acquire(ctx, s, key, o)
		if err == nil {
			serve(ctx, l, o, lead)
			continue
		}
		if errors.Is(err, ErrHeld) {
			awaitEnd(ctx, s, key, o)
		}
		pause(ctx, o.RetryInterval)
	}
	return nil
}

// serve runs lead under the lease.
func serve(ctx context.Context, l *Lease, o Options, lead func(context.Context, *Lease)) {
	leading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-l.Lost():
			cancel(ErrLost)
		case <-leading.Done():
		}
	}()
	lead(leading, l)
	releasing, done := context.WithTimeout(context.WithoutCancel(ctx), o.TTL/3)
	defer done()
	_ = l.Release(releasing) // If it fails, the lease lapses.
}

// awaitEnd returns when the key is gone, or when it can't be watched.
func awaitEnd(ctx context.Context, s store.Store, key string, o Options) {
	ctx = budget.WithPurpose(ctx, budget.PurposeWatch)
	entry, err := s.Get(ctx, key)
	for err == nil && ctx.Err() == nil {
		entry, err = watchFor(ctx, s, entry, o)
	}
}

// watchFor waits for a change of the key for a few TTLs, then reads it: a store
// restored from an old copy may have lower revisions than the one waited for.
func watchFor(ctx context.Context, s store.Store, entry store.Entry, o Options) (store.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, 4*o.TTL)
	defer cancel()
	next, err := s.Watch(bounded, entry.Key, entry.Revision)
	if err != nil && bounded.Err() != nil {
		return s.Get(ctx, entry.Key)
	}
	return next, err
}
