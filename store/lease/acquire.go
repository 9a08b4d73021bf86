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

// record is the value of a held key.
type record struct {
	Owner string `cbor:"1,keyasint"`
	// Token tells this acquisition from all others.
	Token uuid.UUID `cbor:"2,keyasint"`
}

// Acquire takes the lease, or returns ErrHeld with its owner, or ErrNotAcquired.
// The context bounds the acquisition alone; the lease is kept until Release, or
// until it is lost.
//
// A key without a store lease is what a restored copy of the store left of a
// former holder. It is removed after a TTL, by which time that holder has stopped.
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
	asked := time.Now()
	bounded, cancel := context.WithTimeout(budget.WithPurpose(ctx, budget.PurposeLease), o.TTL-o.Margin)
	defer cancel()
	id, err := s.GrantLease(bounded, o.TTL)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAcquired, err)
	}
	fencing, err := claim(bounded, s, key, record{Owner: o.Owner, Token: uuid.New()}, id)
	if err != nil {
		abandon(ctx, s, id, o)
		return nil, err
	}
	l := newLease(s, o, id, fencing, asked)
	keeping, stop := context.WithCancel(budget.WithPurpose(context.WithoutCancel(ctx), budget.PurposeLease))
	l.stop = stop
	go l.keep(keeping)
	return l, nil
}

// claim writes the key. A write whose answer was lost is told by the record's
// token; writing again can't take effect twice.
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
			return inspect(ctx, s, key, r)
		case errors.Is(err, store.ErrUnknownOutcome) && ctx.Err() == nil:
			pause(ctx, claimRetry)
		default:
			return 0, fmt.Errorf("%w: %w", ErrNotAcquired, err)
		}
	}
}

// claimRetry is the mean time between attempts at a write with unknown outcome.
const claimRetry = 50 * time.Millisecond

// inspect tells whether the key was written by this very acquisition.
func inspect(ctx context.Context, s store.Store, key string, mine record) (FencingToken, error) {
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
	if holder.Token != mine.Token {
		return 0, fmt.Errorf("%w: %s", ErrHeld, holder.Owner)
	}
	return FencingToken(entry.Revision), nil
}

// abandon revokes a store lease that is of no use; if that fails, it lapses.
func abandon(ctx context.Context, s store.Store, id store.LeaseID, o Options) {
	ctx, cancel := context.WithTimeout(budget.WithPurpose(context.WithoutCancel(ctx), budget.PurposeLease), o.TTL/3)
	defer cancel()
	_ = s.RevokeLease(ctx, id)
}

// pause waits for a random time around the mean, or until the context ends.
func pause(ctx context.Context, mean time.Duration) { pacing.Sleep(ctx, rand.N(2*mean+1)) }
