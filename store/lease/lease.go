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

// FencingToken numbers the holders of a lease: a later holder has a greater one, as
// long as the store is not restored from an old copy.
type FencingToken uint64

// Lease is held from Acquire until it is released or lost. Its methods are safe
// for concurrent use.
type Lease struct {
	store   store.Store
	options Options
	id      store.LeaseID
	fencing FencingToken

	// origin and validFor tell until when the lease is held, on the monotonic clock.
	origin   time.Time
	validFor atomic.Int64

	end  sync.Once
	lost chan struct{}
	done chan struct{}
	stop context.CancelFunc
}

// newLease returns a lease whose key was written under a store lease that was
// asked for at the given time.
func newLease(s store.Store, o Options, id store.LeaseID, fencing FencingToken, asked time.Time) *Lease {
	l := &Lease{
		store:   s,
		options: o,
		id:      id,
		fencing: fencing,
		origin:  asked,
		lost:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.extend(asked)
	return l
}

// Held reports whether this process certainly holds the lease. Ask before every
// act that only the holder may do.
func (l *Lease) Held() bool {
	select {
	case <-l.lost:
		return false
	default:
		return l.remaining() > 0
	}
}

// Check returns nil while the lease is held, else ErrLost.
func (l *Lease) Check() error {
	if !l.Held() {
		return ErrLost
	}
	return nil
}

// FencingToken is the number that goes with every order of this holder.
func (l *Lease) Fencing() FencingToken { return l.fencing }

// Lost is closed when the lease is lost or released. A paused process sees Held
// become false before this.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Release gives the lease up at once; if the store can't be reached, it lapses.
func (l *Lease) Release(ctx context.Context) error {
	l.lose()
	l.stop()
	<-l.done
	err := l.store.RevokeLease(budget.WithPurpose(ctx, budget.PurposeLease), l.id)
	if errors.Is(err, store.ErrLeaseNotFound) {
		return nil
	}
	return err
}

// remaining is for how long the lease is still held; it is read from the clock
// at each call.
func (l *Lease) remaining() time.Duration {
	return time.Duration(l.validFor.Load()) - time.Since(l.origin)
}

// extend notes that a keep-alive sent at the given time was carried out.
func (l *Lease) extend(sent time.Time) {
	l.validFor.Store(int64(sent.Sub(l.origin) + l.options.TTL - l.options.Margin))
}

func (l *Lease) lose() { l.end.Do(func() { close(l.lost) }) }

// keep sends keep-alives until the lease is lost.
func (l *Lease) keep(ctx context.Context) {
	defer close(l.done)
	defer l.lose()
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

// keepAlive extends the lease from the time before it was sent. An answer that
// comes when the lease is no longer held does not bring it back.
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

// sleep waits for d, or less if the lease ends before; false if it has ended.
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
