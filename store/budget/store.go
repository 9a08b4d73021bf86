package budget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"hawthornrill.example/hawthornrill/store"
)

// Store wraps a store.Store and keeps its calls within a node's budget. It adds one
// guarantee to those of the wrapped store: a call that is still delayed when its
// context ends fails with store.ErrUnavailable and has had no effect.
type Store struct {
	inner      store.Store
	background *rate.Limiter
	urgent     *rate.Limiter
	gate       *gate
	meters     *meters
}

var _ store.Store = (*Store)(nil)

// New returns a Store that wraps inner.
func New(inner store.Store, options Options) *Store {
	o := options.withDefaults()
	return &Store{
		inner:      inner,
		background: rate.NewLimiter(rate.Limit(o.BackgroundPerSecond), o.BackgroundBurst),
		urgent:     rate.NewLimiter(rate.Limit(o.UrgentPerSecond), o.UrgentBurst),
		gate:       newGate(o.BackoffMin, o.BackoffMax),
		meters:     newMeters(o.Metrics),
	}
}

// Counts returns the number of calls made so far, by purpose.
func (s *Store) Counts() map[Purpose]uint64 { return s.meters.counts() }

// do makes one call once the budget admits it.
func (s *Store) do(ctx context.Context, operation string, call func() error) error {
	purpose := purposeOf(ctx)
	if err := s.admit(ctx, purpose); err != nil {
		return err
	}
	s.meters.recordCall(purpose, operation)
	err := call()
	s.recordOutcome(ctx, purpose, operation, err)
	return err
}

// admit waits for the gate and the rate limiter.
func (s *Store) admit(ctx context.Context, purpose Purpose) error {
	start := time.Now()
	defer func() { s.meters.recordWait(purpose, time.Since(start)) }()
	limiter := s.urgent
	if !purpose.urgent() {
		limiter = s.background
		if err := s.gate.wait(ctx); err != nil {
			return fmt.Errorf("%w: in backoff after an error: %w", store.ErrUnavailable, err)
		}
	}
	if err := limiter.Wait(ctx); err != nil {
		s.gate.inconclusive()
		return fmt.Errorf("%w: over the node's rate limit: %w", store.ErrUnavailable, err)
	}
	return nil
}

// recordOutcome passes the outcome of a call to the gate and the meters.
func (s *Store) recordOutcome(ctx context.Context, purpose Purpose, operation string, err error) {
	switch {
	case err == nil, isStoreResponse(err):
		s.gate.succeeded()
	case errors.Is(ctx.Err(), context.Canceled), operation == operationWatch && ctx.Err() != nil:
		s.gate.inconclusive()
	default:
		s.meters.recordError(purpose, operation)
		s.gate.failed()
	}
}

// isStoreResponse reports whether the error is a response of the store, which shows
// that the store is available.
func isStoreResponse(err error) bool {
	return errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseNotFound)
}
