package coordinator

import (
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// round is what one call of Plan sees.
type round struct {
	now     time.Time
	engines []*Engine
	byID    map[domain.EndpointID]*Engine
	demand  map[ModelLocation]ModelDemand
	// models and centres are sorted.
	models  []string
	centres map[string][]domain.DataCentre
	// ready lists a model's runners that have it, and should.
	ready map[string][]*Engine
	// moving are models with a change that is not carried out yet.
	moving map[string]bool
	// loading counts engines' models that are being loaded.
	loading int
}

func (p *Planner) newRound(now time.Time, engines []Engine, demand map[ModelLocation]ModelDemand) *round {
	r := &round{
		now:     now,
		byID:    make(map[domain.EndpointID]*Engine, len(engines)),
		demand:  demand,
		centres: make(map[string][]domain.DataCentre),
		ready:   make(map[string][]*Engine),
		moving:  make(map[string]bool),
	}
	for i := range engines {
		r.add(&engines[i], p.targets[engines[i].ID])
	}
	r.models = slices.Sorted(maps.Keys(r.centres))
	for model, centres := range r.centres {
		slices.Sort(centres)
		r.centres[model] = slices.Compact(centres)
	}
	return r
}

func (r *round) add(e *Engine, t *target) {
	r.engines = append(r.engines, e)
	r.byID[e.ID] = e
	for _, model := range e.Models {
		r.centres[model] = append(r.centres[model], e.DataCentre)
	}
	if t == nil || !e.Known || e.Drain {
		return
	}
	for _, m := range e.State.Models {
		if !m.Ready {
			r.loading++
		}
	}
	for _, model := range e.Models {
		r.addModel(e, t, model)
	}
}

func (r *round) addModel(e *Engine, t *target, model string) {
	_, has := e.has(model)
	switch wants := t.wants(model); {
	case wants && e.ready(model):
		r.ready[model] = append(r.ready[model], e)
	case wants || has:
		r.moving[model] = r.moving[model] || !e.fixed()
	}
}

// readyIn returns the ready runners of a model in a data centre.
func (r *round) readyIn(place ModelLocation) int {
	count := 0
	for _, e := range r.ready[place.Model] {
		if e.DataCentre == place.DataCentre {
			count++
		}
	}
	return count
}

// spare returns the runners of which one must remain when the model leaves the
// engine: any other one, or one of the data centre while that has demand or its
// demand is unknown. None means that the model must stay.
func (r *round) spare(model string, e *Engine) []domain.EndpointID {
	load, known := r.demand[ModelLocation{model, e.DataCentre}]
	anywhere := known && load.none()
	var others []domain.EndpointID
	for _, other := range r.ready[model] {
		if other.ID != e.ID && (anywhere || other.DataCentre == e.DataCentre) {
			others = append(others, other.ID)
		}
	}
	return others
}
