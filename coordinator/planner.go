package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Planner decides which orders come next. It does no I/O and has no clock; one
// Planner belongs to one holder of one group's lease.
type Planner struct {
	options PlanOptions
	targets map[domain.EndpointID]*target
	presses map[ModelLocation]time.Time
	idles   map[ModelLocation]time.Time
	// lacking tells since when a model has had no runner at all.
	lacking map[string]time.Time
	changed map[string]time.Time
}

// NewPlanner returns a planner that takes what it first finds as it is.
func NewPlanner(options PlanOptions) *Planner {
	return &Planner{
		options: options.withDefaults(),
		targets: make(map[domain.EndpointID]*target),
		presses: make(map[ModelLocation]time.Time),
		idles:   make(map[ModelLocation]time.Time),
		lacking: make(map[string]time.Time),
		changed: make(map[string]time.Time),
	}
}

// Plan returns the orders that bring the engines to their targets, after moving
// the targets by at most one change for each model. Engines are all those of the
// group, sorted by identifier; demand that is left out is unknown. Loads that are
// returned are taken from the budget.
func (p *Planner) Plan(now time.Time, engines []Engine, demand map[ModelLocation]ModelDemand, weights LoadBudget) []Step {
	p.adopt(now, engines)
	r := p.newRound(now, engines, demand)
	p.notePressure(r)
	for _, model := range r.models {
		p.change(r, model)
	}
	return p.steps(r, weights)
}

// Target returns the models that the engine should serve, sorted.
func (p *Planner) Target(id domain.EndpointID) []string {
	t := p.targets[id]
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.models))
}

// adopt brings the targets in line with the engines that there are.
func (p *Planner) adopt(now time.Time, engines []Engine) {
	present := make(map[domain.EndpointID]bool, len(engines))
	for i := range engines {
		e := &engines[i]
		present[e.ID] = true
		if !e.Known {
			continue
		}
		if p.targets[e.ID] == nil {
			p.targets[e.ID] = adoptTarget(now, e)
		}
		p.targets[e.ID].refresh(now, e)
		p.targets[e.ID].giveUp(now, e, p.options.LoadTimeout)
	}
	maps.DeleteFunc(p.targets, func(id domain.EndpointID, _ *target) bool { return !present[id] })
}

// steps returns what the engines differ in from their targets: unloads, then
// loads, those of models with the fewest runners first.
func (p *Planner) steps(r *round, weights LoadBudget) []Step {
	var unloads, loads []Step
	for _, e := range r.engines {
		t := p.targets[e.ID]
		if t == nil || !e.Known || !e.OrdersAllowed || e.Drain {
			continue
		}
		unloads = append(unloads, p.unloads(r, e, t)...)
		loads = append(loads, missing(e, t)...)
	}
	slices.SortStableFunc(loads, func(a, b Step) int {
		return cmp.Compare(len(r.ready[a.Order.Model]), len(r.ready[b.Order.Model]))
	})
	loading := r.loading
	for _, step := range loads {
		if loading >= p.options.MaxConcurrentLoads || !weights.Take(r.now, step.Order.Model) {
			break
		}
		loading++
		unloads = append(unloads, step)
	}
	return unloads
}

// missing returns loads of what the engine lacks.
func missing(e *Engine, t *target) []Step {
	var steps []Step
	for _, model := range slices.Sorted(maps.Keys(t.models)) {
		if _, ok := e.has(model); ok {
			continue
		}
		order := endpoint.Order{Kind: endpoint.OrderLoad, Model: model, Version: t.models[model].version}
		steps = append(steps, Step{Endpoint: e.ID, Order: order})
	}
	return steps
}

// unloads returns unloads of what the engine has too much. What has no other
// runner is kept, whoever has loaded it.
func (p *Planner) unloads(r *round, e *Engine, t *target) []Step {
	var steps []Step
	for _, m := range e.State.Models {
		if t.wants(m.Model) || !e.allows(m.Model) {
			continue
		}
		others := r.spare(m.Model, e)
		if len(others) == 0 {
			t.add(r.now, m.Model, m.Version)
			continue
		}
		order := endpoint.Order{Kind: endpoint.OrderUnload, Model: m.Model}
		steps = append(steps, Step{Endpoint: e.ID, Order: order, OtherReplicas: others})
	}
	return steps
}
