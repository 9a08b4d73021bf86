package coordinator

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// change moves the targets by at most one change for the model.
func (p *Planner) change(r *round, model string) {
	if !p.free(r, model) {
		return
	}
	if lasted(p.lacking, model, r.now, p.options.ScaleUpDelay) {
		p.grow(r, model, func(*Engine) bool { return true })
		return
	}
	for _, dc := range p.pressingCentres(r, model) {
		if p.grow(r, model, func(e *Engine) bool { return e.DataCentre == dc }) {
			return
		}
	}
	p.shrink(r, model)
}

// free reports whether the model may be changed: nothing is on the way, and the
// last change is long enough ago.
func (p *Planner) free(r *round, model string) bool {
	last, ever := p.changed[model]
	return !r.moving[model] && (!ever || r.now.Sub(last) >= p.options.ChangeInterval)
}

// pressingCentres returns the data centres that have pressed for long enough, the
// one with most waiting first.
func (p *Planner) pressingCentres(r *round, model string) []domain.DataCentre {
	var centres []domain.DataCentre
	for _, dc := range r.centres[model] {
		if lasted(p.presses, ModelLocation{model, dc}, r.now, p.options.ScaleUpDelay) {
			centres = append(centres, dc)
		}
	}
	slices.SortStableFunc(centres, func(a, b domain.DataCentre) int {
		return cmp.Compare(r.demand[ModelLocation{model, b}].Waiting, r.demand[ModelLocation{model, a}].Waiting)
	})
	return centres
}

// grow puts the model on one more engine, or makes room for it on one. It reports
// whether it did.
func (p *Planner) grow(r *round, model string, suits func(*Engine) bool) bool {
	var best *Engine
	var full []*Engine
	for _, e := range r.engines {
		if !p.usable(r, e, model) || !suits(e) {
			continue
		}
		t := p.targets[e.ID]
		switch {
		case t.occupied(e) >= p.options.ModelsPerEngine:
			full = append(full, e)
		case best == nil || t.occupied(e) < p.targets[best.ID].occupied(best):
			best = e
		}
	}
	if best != nil {
		p.targets[best.ID].add(r.now, model, "")
		p.note(r, model)
		return true
	}
	for _, e := range full {
		if p.makeRoom(r, e) {
			return true
		}
	}
	return false
}

// usable reports whether the model may be put on the engine.
func (p *Planner) usable(r *round, e *Engine, model string) bool {
	t := p.targets[e.ID]
	if t == nil || !e.Known || !e.OrdersAllowed || e.Drain || e.fixed() || !e.allows(model) || t.wants(model) {
		return false
	}
	return !r.now.Before(t.avoid[model])
}

// makeRoom takes a model off the engine that is spared there. An engine that is
// on the way to less already gives no more.
func (p *Planner) makeRoom(r *round, e *Engine) bool {
	t := p.targets[e.ID]
	if t.occupied(e) > len(t.models) {
		return false
	}
	for _, victim := range p.Target(e.ID) {
		if p.drop(r, e, victim) {
			return true
		}
	}
	return false
}

// shrink takes the model off an engine that has others besides. A sole model is
// kept, needed or not: an engine without one is of no use.
func (p *Planner) shrink(r *round, model string) {
	for _, e := range r.ready[model] {
		if !e.fixed() && len(p.targets[e.ID].models) > 1 && p.drop(r, e, model) {
			return
		}
	}
}

// drop takes the model off the engine if it has been spared there for long enough.
func (p *Planner) drop(r *round, e *Engine, model string) bool {
	idle := lasted(p.idles, ModelLocation{model, e.DataCentre}, r.now, p.options.ScaleDownDelay)
	if !e.OrdersAllowed || !idle || !p.free(r, model) || len(r.spare(model, e)) == 0 {
		return false
	}
	delete(p.targets[e.ID].models, model)
	r.ready[model] = slices.DeleteFunc(r.ready[model], func(o *Engine) bool { return o.ID == e.ID })
	p.note(r, model)
	return true
}

// note records a change of the model.
func (p *Planner) note(r *round, model string) {
	p.changed[model] = r.now
	r.moving[model] = true
}
