package budget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"hawthornrill.example/hawthornrill/store"
)

// Store is a store.Store within a node's budget. It adds one guarantee to those
// of the store it wraps: a call that it holds back until its context ends fails
// with store.ErrUnavailable and certainly had no effect.
type Store struct {
	inner      store.Store
	background *rate.Limiter
	urgent     *rate.Limiter
	gate       *gate
	meters     *meters
}

var _ store.Store = (*Store)(nil)

// New wraps a store.
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

// Counts returns the calls made so far by purpose.
func (s *Store) Counts() map[Purpose]uint64 { return s.meters.counts() }

// do makes one call within the budget.
func (s *Store) do(ctx context.Context, operation string, call func() error) error {
	purpose := purposeOf(ctx)
	if err := s.admit(ctx, purpose); err != nil {
		return err
	}
	s.meters.call(purpose, operation)
	err := call()
	s.learn(ctx, purpose, operation, err)
	return err
}

// admit waits for the gate and the rate.
func (s *Store) admit(ctx context.Context, purpose Purpose) error {
	start := time.Now()
	defer func() { s.meters.waited(purpose, time.Since(start)) }()
	limiter := s.urgent
	if !purpose.urgent() {
		limiter = s.background
		if err := s.gate.enter(ctx); err != nil {
			return fmt.Errorf("%w: held back after an error: %w", store.ErrUnavailable, err)
		}
	}
	if err := limiter.Wait(ctx); err != nil {
		s.gate.undecided()
		return fmt.Errorf("%w: over the node's rate: %w", store.ErrUnavailable, err)
	}
	return nil
}

// learn tells the gate how a call ended.
func (s *Store) learn(ctx context.Context, purpose Purpose, operation string, err error) {
	switch {
	case err == nil, isAnswer(err):
		s.gate.succeeded()
	case errors.Is(ctx.Err(), context.Canceled), operation == operationWatch && ctx.Err() != nil:
		s.gate.undecided()
	default:
		s.meters.failed(purpose, operation)
		s.gate.failed()
	}
}

// isAnswer reports whether the store itself has answered.
func isAnswer(err error) bool {
	return errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseNotFound)
}
