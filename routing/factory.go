package routing

import (
	"slices"
	"sync"
	"weak"

	"hawthornrill.example/hawthornrill/capacity"
)

// Factory makes a node's Routers, one for each pool group that the node comes to
// own, and shows the state of those still in use.
type Factory struct {
	options Options

	mu      sync.Mutex
	routers []weak.Pointer[Router]
}

// NewFactory returns a factory of Routers with the options.
func NewFactory(options Options) *Factory {
	return &Factory{options: options.WithDefaults()}
}

// New makes a Router; it fits capacity.Options.NewChooser.
func (f *Factory) New() capacity.Chooser {
	rt := NewRouter(f.options)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prune()
	f.routers = append(f.routers, weak.Make(rt))
	return rt
}

// State returns what all Routers have learned, for the dump.
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

// prune drops Routers that are no longer in use.
func (f *Factory) prune() {
	f.routers = slices.DeleteFunc(f.routers, func(p weak.Pointer[Router]) bool { return p.Value() == nil })
}
