package routing

import (
	"slices"
	"sync"
	"weak"

	"hawthornrill.example/hawthornrill/capacity"
)

// Factory creates the Routers of a node, one for each pool group that the node owns, and exposes the
// state of those still in use.
type Factory struct {
	options Options

	mu      sync.Mutex
	routers []weak.Pointer[Router]
}

// NewFactory returns a Factory that creates Routers with the given options.
func NewFactory(options Options) *Factory {
	return &Factory{options: options.WithDefaults()}
}

// New creates a Router. It is suitable as capacity.Options.NewChooser.
func (f *Factory) New() capacity.Chooser {
	rt := NewRouter(f.options)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prune()
	f.routers = append(f.routers, weak.Make(rt))
	return rt
}

// State returns the learned state of all Routers in use, for diagnostics.
func (f *Factory) State() []EndpointDump {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prune()
	var state []EndpointDump
	for _, p := range f.routers {
		if rt := p.Value(); rt != nil {
			state = append(state, rt.State()...)
		}
	}
	return state
}

// prune removes Routers that have been garbage-collected.
func (f *Factory) prune() {
	f.routers = slices.DeleteFunc(f.routers, func(p weak.Pointer[Router]) bool { return p.Value() == nil })
}
