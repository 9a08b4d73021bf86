package lease

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// FencingToken identifies a holder of a lease. It increases from holder to holder,
// as long as the store is not restored from a backup.
type FencingToken uint64

// Lease is a lease held from Acquire until it is released or lost. Its methods are
// safe for concurrent use.
type Lease struct {
	store   store.Store
	options Options
	id      store.LeaseID
	fencing FencingToken

	// The lease is held until origin plus validFor, on the monotonic clock.
	origin   time.Time
	validFor atomic.Int64

	lostOnce sync.Once
	lost     chan struct{}
	done     chan struct{}
	cancel   context.CancelFunc
}

// newLease returns a lease whose key was written under a store lease that was
// requested at the given time.
func newLease(s store.Store, o Options, id store.LeaseID, fencing FencingToken, requestedAt time.Time) *Lease {
	l := &Lease{
		store:   s,
		options: o,
		id:      id,
		fencing: fencing,
		origin:  requestedAt,
		lost:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.extend(requestedAt)
	return l
}

// Held reports whether this process is certain to hold the lease. Call it before
// every action that is reserved to the holder.
func (l *Lease) Held() bool {
	select {
	case <-l.lost:
		return false
	default:
		return l.remaining() > 0
	}
}

// Check returns nil while the lease is held, and ErrLost afterwards.
func (l *Lease) Check() error {
	if !l.Held() {
		return ErrLost
	}
	return nil
}

// Fencing returns the token that must be sent with every order of this holder.
func (l *Lease) Fencing() FencingToken { return l.fencing }

// Lost returns a channel that is closed when the lease is lost or released. In a
// process that was paused, Held may be false before the channel is closed.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Release gives up the lease at once; if the store can't be reached, the lease
// expires by itself.
func (l *Lease) Release(ctx context.Context) error {
	l.markLost()
	l.cancel()
	<-l.done
	err := l.store.RevokeLease(budget.WithPurpose(ctx, budget.PurposeLease), l.id)
	if errors.Is(err, store.ErrLeaseNotFound) {
		return nil
	}
	return err
}

// remaining returns how long the lease is still valid. It reads the clock at each
// call.
func (l *Lease) remaining() time.Duration {
	return time.Duration(l.validFor.Load()) - time.Since(l.origin)
}

// extend records that the store processed a keep-alive sent at the given time.
func (l *Lease) extend(sent time.Time) {
	l.validFor.Store(int64(sent.Sub(l.origin) + l.options.TTL - l.options.Margin))
}

func (l *Lease) markLost() { l.lostOnce.Do(func() { close(l.lost) }) }

// keepAliveLoop sends keep-alives until the lease is lost or the context ends.
func (l *Lease) keepAliveLoop(ctx context.Context) {
	defer close(l.done)
	defer l.markLost()
	interval := l.options.TTL / 3
	for wait := interval; ; {
		if !l.sleep(ctx, wait) {
			return
		}
		err := l.keepAlive(ctx)
		switch {
		case err == nil:
			wait = interval
		case errors.Is(err, store.ErrLeaseNotFound):
			return
		default:
			wait = interval / 4
		}
	}
}

// keepAlive renews the lease, counting from the time before the call was sent. A
// response that arrives after the lease has expired does not revive it.
func (l *Lease) keepAlive(ctx context.Context) error {
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, l.options.TTL/3)
	defer cancel()
	err := l.store.KeepAlive(bounded, l.id)
	if err != nil {
		return err
	}
	if l.remaining() <= 0 {
		return store.ErrLeaseNotFound
	}
	l.extend(sent)
	return nil
}

// sleep waits for d, or until the lease expires if that is sooner. It returns false
// if the lease has expired or the context has ended.
func (l *Lease) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(min(d, max(l.remaining(), 0)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return l.remaining() > 0
	case <-ctx.Done():
		return false
	}
}
