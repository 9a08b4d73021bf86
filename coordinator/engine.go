package coordinator

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Engine is a model engine as seen by the Planner.
type Engine struct {
	ID         domain.EndpointID
	DataCentre domain.DataCentre
	// Models are the models that its row allows, sorted.
	Models []string
	// Drain is true while the operator takes the engine out of service.
	Drain bool
	// Known is true if State was read in this period.
	Known bool
	State endpoint.EngineState
	// OrdersAllowed is true if orders may be sent: the engine refuses a late order
	// of a former holder, or such an order is unlikely to arrive by now.
	OrdersAllowed bool
}

// singleModel reports whether the engine may serve only one model. Its target is
// always that model.
func (e *Engine) singleModel() bool { return len(e.Models) == 1 }

func (e *Engine) allows(model string) bool {
	_, found := slices.BinarySearch(e.Models, model)
	return found
}

// modelState returns the state that the engine reports for a model.
func (e *Engine) modelState(model string) (endpoint.ModelState, bool) {
	return findModel(e.State, model)
}

func (e *Engine) ready(model string) bool {
	m, ok := e.modelState(model)
	return ok && m.Ready
}

func findModel(s endpoint.EngineState, model string) (endpoint.ModelState, bool) {
	i := slices.IndexFunc(s.Models, func(m endpoint.ModelState) bool { return m.Model == model })
	if i < 0 {
		return endpoint.ModelState{}, false
	}
	return s.Models[i], true
}
