package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// give gives one order of the planner. An order that fails is not an error: the
// next period reads back and decides anew. It returns ErrOvertaken or ErrNotHeld.
func (t *term) give(ctx context.Context, step Step) error {
	needed, err := t.confirm(ctx, step)
	if err != nil || !needed {
		return err
	}
	err = t.order(ctx, step.Endpoint, step.Order)
	if errors.Is(err, ErrOvertaken) || errors.Is(err, ErrNotHeld) {
		return err
	}
	state, err := t.state(ctx, step.Endpoint)
	if err == nil && done(state, step.Order) {
		t.meters.result(step.Order.Kind, resultVerified)
	}
	return nil
}

// confirm reads back before an order: whether it is still needed, and for an
// unload whether another runner still has the model ready.
func (t *term) confirm(ctx context.Context, step Step) (bool, error) {
	state, err := t.state(ctx, step.Endpoint)
	if err != nil {
		return false, nil
	}
	if state.Fence > t.fence {
		return false, t.overtaken(step.Endpoint, state.Fence)
	}
	if done(state, step.Order) {
		return false, nil
	}
	return step.Order.Kind != endpoint.OrderUnload || t.witnessed(ctx, step), nil
}

func (t *term) witnessed(ctx context.Context, step Step) bool {
	for _, id := range step.Witnesses {
		state, err := t.state(ctx, id)
		if m, ok := findModel(state, step.Order.Model); err == nil && ok && m.Ready {
			return true
		}
	}
	t.meters.result(step.Order.Kind, resultKept)
	return false
}

// done reports whether an engine's state is what a load or unload asks for, ready
// or not.
func done(s endpoint.EngineState, o endpoint.Order) bool {
	_, has := findModel(s, o.Model)
	return has == (o.Kind == endpoint.OrderLoad)
}

// order sends an order while the lease is held. After an unknown outcome the
// engine gets none for the time that this one may still be on its way.
func (t *term) order(ctx context.Context, id domain.EndpointID, order endpoint.Order) error {
	orders, ok := t.options.Engines.Orders(id)
	if !ok {
		return errNoOrders
	}
	order.Fence = t.fence
	ctx, cancel := context.WithTimeout(ctx, t.options.OrderTimeout)
	defer cancel()
	if !t.lease.Held() {
		return ErrNotHeld
	}
	err := orders.Order(ctx, order)
	return t.learn(id, order, err)
}

func (t *term) learn(id domain.EndpointID, order endpoint.Order, err error) error {
	switch {
	case err == nil:
		t.meters.result(order.Kind, resultAccepted)
	case errors.Is(err, endpoint.ErrStaleFence):
		t.meters.result(order.Kind, resultOldFence)
		return fmt.Errorf("%w: %s: %w", ErrOvertaken, id, err)
	case errors.Is(err, endpoint.ErrRefused):
		t.meters.result(order.Kind, resultRefused)
	case errors.Is(err, endpoint.ErrNotDispatched):
		t.meters.result(order.Kind, resultNotSent)
	default:
		t.meters.result(order.Kind, resultUnknown)
		t.silent[id] = time.Now().Add(t.options.OrderTimeout)
	}
	return err
}
