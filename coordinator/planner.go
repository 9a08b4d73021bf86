package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Planner decides which orders to send next. It does no I/O and has no clock. One
// Planner belongs to one term of one group.
type Planner struct {
	options              PlanOptions
	targets              map[domain.EndpointID]*target
	overloadedSince      map[ModelLocation]time.Time
	overprovisionedSince map[ModelLocation]time.Time
	// missingSince is the time since which a model has had no ready replica.
	missingSince map[string]time.Time
	changedAt    map[string]time.Time
}

// NewPlanner returns a planner that takes the first state read of each engine as
// its target.
func NewPlanner(options PlanOptions) *Planner {
	return &Planner{
		options:              options.withDefaults(),
		targets:              make(map[domain.EndpointID]*target),
		overloadedSince:      make(map[ModelLocation]time.Time),
		overprovisionedSince: make(map[ModelLocation]time.Time),
		missingSince:         make(map[string]time.Time),
		changedAt:            make(map[string]time.Time),
	}
}

// Plan applies at most one change for each model to the targets and returns the
// orders that bring the engines to their targets. The engines are all those of the
// group, sorted by identifier; demand that is left out is unknown. Each returned
// load has been charged to the budget.
func (p *Planner) Plan(now time.Time, engines []Engine, demand map[ModelLocation]ModelDemand, budget LoadBudget) []Step {
	p.syncTargets(now, engines)
	r := p.newRound(now, engines, demand)
	p.updateConditions(r)
	for _, model := range r.models {
		p.changeModel(r, model)
	}
	return p.steps(r, budget)
}

// Target returns the models that the engine should serve, sorted.
func (p *Planner) Target(id domain.EndpointID) []string {
	t := p.targets[id]
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.models))
}

// syncTargets creates and refreshes the targets of the engines read in this period,
// and deletes those of engines that left the group.
func (p *Planner) syncTargets(now time.Time, engines []Engine) {
	present := make(map[domain.EndpointID]bool, len(engines))
	for i := range engines {
		e := &engines[i]
		present[e.ID] = true
		if !e.Known {
			continue
		}
		if p.targets[e.ID] == nil {
			p.targets[e.ID] = initialTarget(now, e)
		}
		p.targets[e.ID].refresh(now, e)
		p.targets[e.ID].dropFailedLoads(now, e, p.options.LoadTimeout)
	}
	maps.DeleteFunc(p.targets, func(id domain.EndpointID, _ *target) bool { return !present[id] })
}

// steps returns the orders for all differences between engines and targets: unloads
// first, then loads, those of the models with the fewest ready replicas first.
func (p *Planner) steps(r *round, budget LoadBudget) []Step {
	var unloads, loads []Step
	for _, e := range r.engines {
		t := p.targets[e.ID]
		if t == nil || !e.Known || !e.OrdersAllowed || e.Drain {
			continue
		}
		unloads = append(unloads, p.unloads(r, e, t)...)
		loads = append(loads, missingLoads(e, t)...)
	}
	slices.SortStableFunc(loads, func(a, b Step) int {
		return cmp.Compare(len(r.ready[a.Order.Model]), len(r.ready[b.Order.Model]))
	})
	loading := r.loading
	for _, step := range loads {
		if loading >= p.options.MaxConcurrentLoads || !budget.Take(r.now, step.Order.Model) {
			break
		}
		loading++
		unloads = append(unloads, step)
	}
	return unloads
}

// missingLoads returns the loads of the target models that the engine lacks.
func missingLoads(e *Engine, t *target) []Step {
	var steps []Step
	for _, model := range slices.Sorted(maps.Keys(t.models)) {
		if _, ok := e.modelState(model); ok {
			continue
		}
		order := endpoint.Order{Kind: endpoint.OrderLoad, Model: model, Version: t.models[model].version}
		steps = append(steps, Step{Endpoint: e.ID, Order: order})
	}
	return steps
}

// unloads returns the unloads of models that are not in the target. A model without
// another replica is added to the target instead, whoever loaded it.
func (p *Planner) unloads(r *round, e *Engine, t *target) []Step {
	var steps []Step
	for _, m := range e.State.Models {
		if t.wants(m.Model) || !e.allows(m.Model) {
			continue
		}
		others := r.otherReplicas(m.Model, e)
		if len(others) == 0 {
			t.add(r.now, m.Model, m.Version)
			continue
		}
		order := endpoint.Order{Kind: endpoint.OrderUnload, Model: m.Model}
		steps = append(steps, Step{Endpoint: e.ID, Order: order, OtherReplicas: others})
	}
	return steps
}
