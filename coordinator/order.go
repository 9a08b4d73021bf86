package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// execute carries out one planned order. A failed order is not an error: the next
// period reads the state back and decides again. It returns ErrSuperseded or
// ErrLeaseNotHeld.
func (t *term) execute(ctx context.Context, step Step) error {
	needed, err := t.orderNeeded(ctx, step)
	if err != nil || !needed {
		return err
	}
	err = t.sendOrder(ctx, step.Endpoint, step.Order)
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrLeaseNotHeld) {
		return err
	}
	state, err := t.readState(ctx, step.Endpoint)
	if err == nil && inEffect(state, step.Order) {
		t.counters.result(step.Order.Kind, resultVerified)
	}
	return nil
}

// orderNeeded reads the state again right before an order: it reports whether the
// order is still needed and, for an unload, whether another replica of the model is
// still ready.
func (t *term) orderNeeded(ctx context.Context, step Step) (bool, error) {
	state, err := t.readState(ctx, step.Endpoint)
	if err != nil {
		return false, nil
	}
	if state.Fence > t.fence {
		return false, t.supersededError(step.Endpoint, state.Fence)
	}
	if inEffect(state, step.Order) {
		return false, nil
	}
	return step.Order.Kind != endpoint.OrderUnload || t.hasOtherReplica(ctx, step), nil
}

func (t *term) hasOtherReplica(ctx context.Context, step Step) bool {
	for _, id := range step.OtherReplicas {
		state, err := t.readState(ctx, id)
		if m, ok := findModel(state, step.Order.Model); err == nil && ok && m.Ready {
			return true
		}
	}
	t.counters.result(step.Order.Kind, resultLastReplicaKept)
	return false
}

// inEffect reports whether the engine has, or no longer has, the model as the load
// or unload demands. A model that is still loading counts.
func inEffect(s endpoint.EngineState, o endpoint.Order) bool {
	_, has := findModel(s, o.Model)
	return has == (o.Kind == endpoint.OrderLoad)
}

// sendOrder sends an order if the lease is held. After an unknown outcome the
// engine gets no order for as long as this one may still arrive. Once sent, an order
// is not broken off when the context ends, so that its outcome is known; it takes
// less than the lease's margin.
func (t *term) sendOrder(ctx context.Context, id domain.EndpointID, order endpoint.Order) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	orders, ok := t.options.Engines.Orders(id)
	if !ok {
		return errNoOrders
	}
	order.Fence = t.fence
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.options.OrderTimeout)
	defer cancel()
	if !t.lease.Held() {
		return ErrLeaseNotHeld
	}
	err := orders.Order(ctx, order)
	return t.recordResult(id, order, err)
}

func (t *term) recordResult(id domain.EndpointID, order endpoint.Order, err error) error {
	switch {
	case err == nil:
		t.counters.result(order.Kind, resultAccepted)
	case errors.Is(err, endpoint.ErrStaleFence):
		t.counters.result(order.Kind, resultOldFence)
		return fmt.Errorf("%w: %s: %w", ErrSuperseded, id, err)
	case errors.Is(err, endpoint.ErrRefused):
		t.counters.result(order.Kind, resultRefused)
	case errors.Is(err, endpoint.ErrNotDispatched):
		t.counters.result(order.Kind, resultNotSent)
	default:
		t.counters.result(order.Kind, resultUnknown)
		t.blockedUntil[id] = time.Now().Add(t.options.OrderTimeout)
	}
	return err
}
