package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// record is the value stored under a lease's key.
type record struct {
	Owner string `cbor:"1,keyasint"`
	// AcquisitionID is unique to each acquisition.
	AcquisitionID uuid.UUID `cbor:"2,keyasint"`
}

// Acquire acquires the lease, or returns ErrHeld with its owner, or ErrNotAcquired.
// The context bounds the acquisition only; the lease is renewed until Release, or
// until it is lost.
//
// A key without a store lease belonged to a former holder and came back when the
// store was restored from a backup. It is removed after one TTL, by which time
// that holder has stopped.
func Acquire(ctx context.Context, s store.Store, key string, options Options) (*Lease, error) {
	o := options.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	l, err := tryAcquire(ctx, s, key, o)
	var orphan *orphanError
	if !errors.As(err, &orphan) {
		return l, err
	}
	if err := orphan.remove(ctx, s, o); err != nil {
		return nil, err
	}
	return tryAcquire(ctx, s, key, o)
}

func tryAcquire(ctx context.Context, s store.Store, key string, o Options) (*Lease, error) {
	requestedAt := time.Now()
	bounded, cancel := context.WithTimeout(budget.WithPurpose(ctx, budget.PurposeLease), o.TTL-o.Margin)
	defer cancel()
	id, err := s.GrantLease(bounded, o.TTL)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAcquired, err)
	}
	fencing, err := claim(bounded, s, key, record{Owner: o.Owner, AcquisitionID: uuid.New()}, id)
	if err != nil {
		revokeUnused(ctx, s, id, o)
		return nil, err
	}
	l := newLease(s, o, id, fencing, requestedAt)
	keepAliveCtx, stop := context.WithCancel(budget.WithPurpose(context.WithoutCancel(ctx), budget.PurposeLease))
	l.cancel = stop
	go l.keepAliveLoop(keepAliveCtx)
	return l, nil
}

// claim writes the key. If the response to a write was lost, the record's
// acquisition ID shows whether the write took effect. Retrying is safe, as
// compare-and-swap can't take effect twice.
func claim(ctx context.Context, s store.Store, key string, r record, id store.LeaseID) (FencingToken, error) {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAcquired, err)
	}
	for {
		revision, err := s.CompareAndSwap(ctx, key, 0, encoded, id)
		switch {
		case err == nil:
			return FencingToken(revision), nil
		case errors.Is(err, store.ErrConflict):
			return checkHolder(ctx, s, key, r)
		case errors.Is(err, store.ErrUnknownOutcome) && ctx.Err() == nil:
			sleepJittered(ctx, claimRetryInterval)
		default:
			return 0, fmt.Errorf("%w: %w", ErrNotAcquired, err)
		}
	}
}

// claimRetryInterval is the mean time between retries of a write with unknown outcome.
const claimRetryInterval = 50 * time.Millisecond

// checkHolder returns the fencing token if the key was written by this acquisition,
// or else an error that names its holder.
func checkHolder(ctx context.Context, s store.Store, key string, mine record) (FencingToken, error) {
	entry, err := s.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAcquired, err)
	}
	var holder record
	if err := cbor.Unmarshal(entry.Value, &holder); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotAcquired, err)
	}
	if entry.Lease == 0 {
		return 0, &orphanError{entry: entry, owner: holder.Owner}
	}
	if holder.AcquisitionID != mine.AcquisitionID {
		return 0, fmt.Errorf("%w: %s", ErrHeld, holder.Owner)
	}
	return FencingToken(entry.Revision), nil
}

// revokeUnused revokes a store lease that protects no key; if that fails, it
// expires by itself.
func revokeUnused(ctx context.Context, s store.Store, id store.LeaseID, o Options) {
	ctx, cancel := context.WithTimeout(budget.WithPurpose(context.WithoutCancel(ctx), budget.PurposeLease), o.TTL/3)
	defer cancel()
	_ = s.RevokeLease(ctx, id)
}

// sleepJittered waits for a random time between zero and twice the mean, or until
// the context ends.
func sleepJittered(ctx context.Context, mean time.Duration) { pacing.Sleep(ctx, rand.N(2*mean+1)) }
