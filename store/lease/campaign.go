package lease

import (
	"context"
	"errors"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// Campaign acquires the lease repeatedly until the context ends, and calls lead
// after each acquisition. The context given to lead is cancelled when the lease is
// lost; the lease is released when lead returns. While another process holds the
// lease, Campaign watches its key, with one store call at a time.
func Campaign(ctx context.Context, s store.Store, key string, options Options, lead func(ctx context.Context, l *Lease)) error {
	o := options.withDefaults()
	if err := o.check(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		l, err := Acquire(ctx, s, key, o)
		if err == nil {
			runLeader(ctx, l, o, lead)
			continue
		}
		if errors.Is(err, ErrHeld) {
			awaitKeyRemoval(ctx, s, key, o)
		}
		sleepJittered(ctx, o.RetryInterval)
	}
	return nil
}

// runLeader calls lead while the lease is held and then releases the lease.
func runLeader(ctx context.Context, l *Lease, o Options, lead func(context.Context, *Lease)) {
	leaderCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-l.Lost():
			cancel(ErrLost)
		case <-leaderCtx.Done():
		}
	}()
	lead(leaderCtx, l)
	releaseCtx, done := context.WithTimeout(context.WithoutCancel(ctx), o.TTL/3)
	defer done()
	_ = l.Release(releaseCtx) // If it fails, the lease expires by itself.
}

// awaitKeyRemoval returns when the key has been removed, or when it can't be watched.
func awaitKeyRemoval(ctx context.Context, s store.Store, key string, o Options) {
	ctx = budget.WithPurpose(ctx, budget.PurposeWatch)
	entry, err := s.Get(ctx, key)
	for err == nil && ctx.Err() == nil {
		entry, err = watchOrReread(ctx, s, entry, o)
	}
}

// watchOrReread waits for a change of the key for a few TTLs, then reads it. A store
// that was restored from a backup may have revisions below the one watched for, so
// that the watch alone might never end.
func watchOrReread(ctx context.Context, s store.Store, entry store.Entry, o Options) (store.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, 4*o.TTL)
	defer cancel()
	next, err := s.Watch(bounded, entry.Key, entry.Revision)
	if err != nil && bounded.Err() != nil {
		return s.Get(ctx, entry.Key)
	}
	return next, err
}
