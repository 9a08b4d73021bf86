package memstore

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store"
)

// admittedCall is a call that passed admission, with the fault injected into it. The
// channels are closed when the client or the store goes down.
type admittedCall struct {
	fault                 Fault
	clientDown, storeDown <-chan struct{}
}

// admit counts the call and refuses it if the store is down for this client, or if
// the rate limit is exceeded.
func (c *Client) admit(ctx context.Context, operation Operation, key string) (admittedCall, error) {
	if ctx.Err() != nil {
		return admittedCall{}, unavailable(ctx)
	}
	c.counters.add(operation)
	c.store.counters.add(operation)
	own, clientDown := c.Faults.nextFault(operation, key)
	shared, storeDown := c.store.Faults.nextFault(operation, key)
	call := admittedCall{fault: own.merge(shared), clientDown: clientDown, storeDown: storeDown}
	if call.fault.Down {
		return admittedCall{}, store.ErrUnavailable
	}
	if !c.store.allow(operation) {
		c.counters.refused.Add(1)
		c.store.counters.refused.Add(1)
		return admittedCall{}, fmt.Errorf("%w: rate limit exceeded", store.ErrUnavailable)
	}
	return call, nil
}

// delayRead waits for the delay of a read. A dropped response makes the read
// unavailable.
func (r admittedCall) delayRead(ctx context.Context) error {
	if !pacing.Sleep(ctx, r.fault.Delay) {
		return unavailable(ctx)
	}
	if r.fault.DropResponse {
		return store.ErrUnavailable
	}
	return nil
}

// write applies a write with its injected fault. Once admitted, the write takes
// effect even if the caller's context ends first.
func (c *Client) write(ctx context.Context, operation Operation, key string, effect func() error) error {
	call, err := c.admit(ctx, operation, key)
	if err != nil {
		return err
	}
	if call.fault.Delay <= 0 {
		return call.result(effect())
	}
	done := make(chan error, 1)
	time.AfterFunc(call.fault.Delay, func() { done <- effect() })
	select {
	case err := <-done:
		return call.result(err)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, context.Cause(ctx))
	}
}

func (r admittedCall) result(err error) error {
	if r.fault.DropResponse {
		return store.ErrUnknownOutcome
	}
	return err
}
