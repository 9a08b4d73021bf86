package coordinator

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Engine is a model engine as the Planner sees it.
type Engine struct {
	ID         domain.EndpointID
	DataCentre domain.DataCentre
	// Models are those that its row allows, sorted.
	Models []string
	// Drain is true while the operator takes it out of service.
	Drain bool
	// Known is true if State was read just now.
	Known bool
	State endpoint.EngineState
	// Open is true if orders may be given: a late one of a former holder is refused
	// by the engine, or unlikely by now.
	OrdersAllowed bool
}

// fixed engines serve one model, and are left alone when it is loaded.
func (e *Engine) fixed() bool { return len(e.Models) == 1 }

func (e *Engine) allows(model string) bool {
	_, found := slices.BinarySearch(e.Models, model)
	return found
}

// has returns what the engine says of a model.
func (e *Engine) has(model string) (endpoint.ModelState, bool) { return findModel(e.State, model) }

func (e *Engine) ready(model string) bool {
	m, ok := e.has(model)
	return ok && m.Ready
}

func findModel(s endpoint.EngineState, model string) (endpoint.ModelState, bool) {
	i := slices.IndexFunc(s.Models, func(m endpoint.ModelState) bool { return m.Model == model })
	if i < 0 {
		return endpoint.ModelState{}, false
	}
	return s.Models[i], true
}
