package coordinator

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// changeModel applies at most one change of the model to the targets.
func (p *Planner) changeModel(r *round, model string) {
	if !p.changeable(r, model) {
		return
	}
	if persisted(p.missingSince, model, r.now, p.options.ScaleUpDelay) {
		p.scaleUp(r, model, func(*Engine) bool { return true })
		return
	}
	for _, dc := range p.overloadedDataCentres(r, model) {
		if p.scaleUp(r, model, func(e *Engine) bool { return e.DataCentre == dc }) {
			return
		}
	}
	p.scaleDown(r, model)
}

// changeable reports whether the model may be changed: no earlier change is
// pending, and the last one is at least ChangeInterval ago.
func (p *Planner) changeable(r *round, model string) bool {
	last, ever := p.changedAt[model]
	return !r.pending[model] && (!ever || r.now.Sub(last) >= p.options.ChangeInterval)
}

// overloadedDataCentres returns the data centres that have been overloaded for
// ScaleUpDelay, the one with the most waiting requests first.
func (p *Planner) overloadedDataCentres(r *round, model string) []domain.DataCentre {
	var dataCentres []domain.DataCentre
	for _, dc := range r.dataCentres[model] {
		if persisted(p.overloadedSince, ModelLocation{model, dc}, r.now, p.options.ScaleUpDelay) {
			dataCentres = append(dataCentres, dc)
		}
	}
	slices.SortStableFunc(dataCentres, func(a, b domain.DataCentre) int {
		return cmp.Compare(r.demand[ModelLocation{model, b}].Waiting, r.demand[ModelLocation{model, a}].Waiting)
	})
	return dataCentres
}

// scaleUp adds the model to the target of one more engine, or frees a slot on a
// full one. It reports whether it changed a target.
func (p *Planner) scaleUp(r *round, model string, eligible func(*Engine) bool) bool {
	var best *Engine
	var full []*Engine
	for _, e := range r.engines {
		if !p.canLoad(r, e, model) || !eligible(e) {
			continue
		}
		t := p.targets[e.ID]
		switch {
		case t.modelCount(e) >= p.options.ModelsPerEngine:
			full = append(full, e)
		case best == nil || t.modelCount(e) < p.targets[best.ID].modelCount(best):
			best = e
		}
	}
	if best != nil {
		p.targets[best.ID].add(r.now, model, "")
		p.recordChange(r, model)
		return true
	}
	for _, e := range full {
		if p.freeSlot(r, e) {
			return true
		}
	}
	return false
}

// canLoad reports whether the model may be added to the target of the engine.
func (p *Planner) canLoad(r *round, e *Engine, model string) bool {
	t := p.targets[e.ID]
	if t == nil || !e.Known || !e.OrdersAllowed || e.Drain || e.singleModel() || !e.allows(model) || t.wants(model) {
		return false
	}
	return !r.now.Before(t.avoidUntil[model])
}

// freeSlot removes one overprovisioned model from the target of the engine. It
// removes none while an earlier unload is still pending there.
func (p *Planner) freeSlot(r *round, e *Engine) bool {
	t := p.targets[e.ID]
	if t.modelCount(e) > len(t.models) {
		return false
	}
	for _, other := range p.Target(e.ID) {
		if p.removeModel(r, e, other) {
			return true
		}
	}
	return false
}

// scaleDown removes the model from an engine that serves other models too. The only
// model of an engine is kept even if it is not needed, because an engine without a
// model is of no use.
func (p *Planner) scaleDown(r *round, model string) {
	for _, e := range r.ready[model] {
		if !e.singleModel() && len(p.targets[e.ID].models) > 1 && p.removeModel(r, e, model) {
			return
		}
	}
}

// removeModel removes the model from the target of the engine if it has been
// overprovisioned there for ScaleDownDelay.
func (p *Planner) removeModel(r *round, e *Engine, model string) bool {
	overprovisioned := persisted(p.overprovisionedSince, ModelLocation{model, e.DataCentre}, r.now, p.options.ScaleDownDelay)
	if !e.OrdersAllowed || !overprovisioned || !p.changeable(r, model) || len(r.otherReplicas(model, e)) == 0 {
		return false
	}
	delete(p.targets[e.ID].models, model)
	r.ready[model] = slices.DeleteFunc(r.ready[model], func(o *Engine) bool { return o.ID == e.ID })
	p.recordChange(r, model)
	return true
}

func (p *Planner) recordChange(r *round, model string) {
	p.changedAt[model] = r.now
	r.pending[model] = true
}
