package memstore

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store"
)

// runningCall is a call that was let in, with what will go wrong with it.
type runningCall struct {
	fault                  Fault
	ownBroken, storeBroken <-chan struct{}
}

// begin counts the call and refuses it if the store is down for this client, or
// if it is over the rate limit.
func (c *Client) begin(ctx context.Context, operation Operation, key string) (runningCall, error) {
	if ctx.Err() != nil {
		return runningCall{}, unavailable(ctx)
	}
	c.counters.add(operation)
	c.store.counters.add(operation)
	own, ownBroken := c.Faults.next(operation, key)
	shared, storeBroken := c.store.Faults.next(operation, key)
	call := runningCall{fault: own.merge(shared), ownBroken: ownBroken, storeBroken: storeBroken}
	if call.fault.Down {
		return runningCall{}, store.ErrUnavailable
	}
	if !c.store.allow(operation) {
		c.counters.refused.Add(1)
		c.store.counters.refused.Add(1)
		return runningCall{}, fmt.Errorf("%w: rate limit", store.ErrUnavailable)
	}
	return call, nil
}

// delayRead waits out the delay of a read; a lost answer is no answer.
func (r runningCall) delayRead(ctx context.Context) error {
	if !pacing.Sleep(ctx, r.fault.Delay) {
		return unavailable(ctx)
	}
	if r.fault.DropResponse {
		return store.ErrUnavailable
	}
	return nil
}

// write runs a write under its fault. Once begun it takes effect even if its
// caller gives up.
func (c *Client) write(ctx context.Context, operation Operation, key string, effect func() error) error {
	call, err := c.begin(ctx, operation, key)
	if err != nil {
		return err
	}
	if call.fault.Delay <= 0 {
		return call.answer(effect())
	}
	done := make(chan error, 1)
	time.AfterFunc(call.fault.Delay, func() { done <- effect() })
	select {
	case err := <-done:
		return call.answer(err)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, context.Cause(ctx))
	}
}

func (r runningCall) answer(err error) error {
	if r.fault.DropResponse {
		return store.ErrUnknownOutcome
	}
	return err
}
