package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

var _ endpoint.Orders = (*Engine)(nil)

// OrderRecord records an order that the engine received.
type OrderRecord struct {
	Order endpoint.Order `json:"order"`
	At    time.Time      `json:"at"`
	// Applied is false if the order was refused for its fencing number.
	Applied bool `json:"obeyed"`
	// Stale is true if its fencing number was lower than one applied before.
	Stale bool `json:"old"`
}

// Order implements endpoint.Orders.
func (e *Engine) Order(ctx context.Context, order endpoint.Order) error {
	if err := e.awaitReachable(ctx); err != nil {
		return err
	}
	if err := e.submitOrder(order); err != nil {
		return err
	}
	return e.delayReply(ctx)
}

// State implements endpoint.Orders.
func (e *Engine) State(ctx context.Context) (endpoint.EngineState, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return endpoint.EngineState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.state(), nil
}

// OrderLog returns the valid orders that the engine received, including those
// before a crash.
func (e *Engine) OrderLog() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders...)
}

func (e *Engine) submitOrder(order endpoint.Order) error {
	if err := validateOrder(order); err != nil {
		return wrapRefused(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.models.fence
	apply := !stale || e.options.IgnoreFencing
	e.orders = append(e.orders, OrderRecord{Order: order, At: time.Now(), Applied: apply, Stale: stale})
	if !apply {
		return wrapRefused(fmt.Errorf("%w: %d is less than %d", endpoint.ErrStaleFence, order.Fence, e.models.fence))
	}
	e.models.fence = max(e.models.fence, order.Fence)
	return e.applyOrder(order)
}

func validateOrder(o endpoint.Order) error {
	switch o.Kind {
	case endpoint.OrderLoad, endpoint.OrderUnload:
		if o.Model == "" {
			return fmt.Errorf("%w: model is missing", ErrBadOrder)
		}
	case endpoint.OrderLoadAdapter, endpoint.OrderUnloadAdapter:
		if o.Model == "" || o.Adapter == "" {
			return fmt.Errorf("%w: model and adapter are needed", ErrBadOrder)
		}
	case endpoint.OrderSetRole:
		if !slices.Contains([]endpoint.Role{endpoint.RoleMixed, endpoint.RolePrefill, endpoint.RoleDecode}, o.Role) {
			return fmt.Errorf("%w: role %q", ErrBadOrder, o.Role)
		}
	default:
		return fmt.Errorf("%w: kind %q", ErrBadOrder, o.Kind)
	}
	return nil
}

func (e *Engine) applyOrder(o endpoint.Order) error {
	switch o.Kind {
	case endpoint.OrderLoad:
		e.loadModel(o.Model, o.Version)
	case endpoint.OrderUnload:
		e.models.servesAny = false
		delete(e.models.byName, o.Model)
	case endpoint.OrderLoadAdapter:
		return e.loadAdapter(o.Model, o.Adapter)
	case endpoint.OrderUnloadAdapter:
		if m, ok := e.models.byName[o.Model]; ok {
			delete(m.adapters, o.Adapter)
		}
	case endpoint.OrderSetRole:
		e.models.role = o.Role
	}
	return nil
}

// loadModel starts loading a model, unless that version is loaded or loading
// already.
func (e *Engine) loadModel(name, version string) {
	e.models.servesAny = false
	if m, ok := e.models.byName[name]; ok && m.version == version {
		return
	}
	loading := e.models.add(name, version)
	weights := Weights{Model: name, Version: version}
	go e.load(e.incarnationEnd, e.options.Speed.ModelLoad, weights, func(loaded bool) {
		if e.models.byName[name] != loading {
			return
		}
		loading.ready = loaded
		if !loaded {
			delete(e.models.byName, name)
		}
	})
}

func (e *Engine) loadAdapter(name, adapterName string) error {
	m, ok := e.models.byName[name]
	if !ok {
		return wrapRefused(fmt.Errorf("%w: %q", ErrModelNotLoaded, name))
	}
	if _, ok := m.adapters[adapterName]; ok {
		return nil
	}
	loading := &adapter{}
	m.adapters[adapterName] = loading
	weights := Weights{Model: name, Version: m.version, Adapter: adapterName}
	go e.load(e.incarnationEnd, e.options.Speed.AdapterLoad, weights, func(loaded bool) {
		if m.adapters[adapterName] != loading {
			return
		}
		loading.ready = loaded
		if !loaded {
			delete(m.adapters, adapterName)
		}
	})
	return nil
}

// load fetches weights and then waits for the load time. done is not called if the
// engine crashes meanwhile.
func (e *Engine) load(end <-chan struct{}, duration time.Duration, weights Weights, done func(loaded bool)) {
	loaded := e.options.FetchWeights == nil || e.options.FetchWeights(weights) == nil
	if !sleep(duration, end) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-end:
	default:
		done(loaded)
	}
}
