package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

var _ endpoint.Orders = (*Engine)(nil)

// OrderRecord is the witness of an order that the engine got.
type OrderRecord struct {
	Order endpoint.Order `json:"order"`
	At    time.Time      `json:"at"`
	// Obeyed is false for a refused order.
	Applied bool `json:"obeyed"`
	// Old is true if its fencing number was lower than one obeyed before.
	Stale bool `json:"old"`
}

// Order implements endpoint.Orders.
func (e *Engine) Order(ctx context.Context, order endpoint.Order) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	if err := e.order(order); err != nil {
		return err
	}
	return e.answerLate(ctx)
}

// State implements endpoint.Orders.
func (e *Engine) State(ctx context.Context) (endpoint.EngineState, error) {
	if err := e.enter(ctx); err != nil {
		return endpoint.EngineState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.state(), nil
}

// OrderLog returns all orders that the engine got, over all its lives.
func (e *Engine) OrderLog() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders...)
}

func (e *Engine) order(order endpoint.Order) error {
	if err := checkOrder(order); err != nil {
		return refused(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := order.Fence < e.models.fence
	obey := !old || e.options.IgnoreFencing
	e.orders = append(e.orders, OrderRecord{Order: order, At: time.Now(), Applied: obey, Stale: old})
	if !obey {
		return refused(fmt.Errorf("%w: %d is less than %d", endpoint.ErrOldFence, order.Fence, e.models.fence))
	}
	e.models.fence = max(e.models.fence, order.Fence)
	return e.obey(order)
}

func checkOrder(o endpoint.Order) error {
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

func (e *Engine) obey(o endpoint.Order) error {
	switch o.Kind {
	case endpoint.OrderLoad:
		e.loadModel(o.Model, o.Version)
	case endpoint.OrderUnload:
		e.models.any = false
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

// loadModel begins to load a model; one that is loaded or loading already at
// that version is left alone.
func (e *Engine) loadModel(name, version string) {
	e.models.any = false
	if m, ok := e.models.byName[name]; ok && m.version == version {
		return
	}
	loading := e.models.add(name, version)
	weights := Weights{Model: name, Version: version}
	go e.load(e.lifeEnd, e.options.Speed.ModelLoad, weights, func(loaded bool) {
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
		return refused(fmt.Errorf("%w: %q", ErrModelNotLoaded, name))
	}
	if _, ok := m.adapters[adapterName]; ok {
		return nil
	}
	loading := &adapter{}
	m.adapters[adapterName] = loading
	weights := Weights{Model: name, Version: m.version, Adapter: adapterName}
	go e.load(e.lifeEnd, e.options.Speed.AdapterLoad, weights, func(loaded bool) {
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

// load fetches weights and then takes the time to load them. If the engine's
// life ends meanwhile, done is not called.
func (e *Engine) load(end <-chan struct{}, takes time.Duration, weights Weights, done func(loaded bool)) {
	loaded := e.options.FetchWeights == nil || e.options.FetchWeights(weights) == nil
	if !sleep(takes, end) {
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
