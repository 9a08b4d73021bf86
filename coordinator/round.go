package coordinator

import (
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// round is the input of one call of Plan, indexed.
type round struct {
	now     time.Time
	engines []*Engine
	byID    map[domain.EndpointID]*Engine
	demand  map[ModelLocation]ModelDemand
	// models and the data centres of each model are sorted.
	models      []string
	dataCentres map[string][]domain.DataCentre
	// ready lists the engines that have a model ready and in their target.
	ready map[string][]*Engine
	// pending marks the models with a change that is not carried out yet.
	pending map[string]bool
	// loading counts the loads in progress on all engines.
	loading int
}

func (p *Planner) newRound(now time.Time, engines []Engine, demand map[ModelLocation]ModelDemand) *round {
	r := &round{
		now:         now,
		byID:        make(map[domain.EndpointID]*Engine, len(engines)),
		demand:      demand,
		dataCentres: make(map[string][]domain.DataCentre),
		ready:       make(map[string][]*Engine),
		pending:     make(map[string]bool),
	}
	for i := range engines {
		r.addEngine(&engines[i], p.targets[engines[i].ID])
	}
	r.models = slices.Sorted(maps.Keys(r.dataCentres))
	for model, dataCentres := range r.dataCentres {
		slices.Sort(dataCentres)
		r.dataCentres[model] = slices.Compact(dataCentres)
	}
	return r
}

func (r *round) addEngine(e *Engine, t *target) {
	r.engines = append(r.engines, e)
	r.byID[e.ID] = e
	for _, model := range e.Models {
		r.dataCentres[model] = append(r.dataCentres[model], e.DataCentre)
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
	_, has := e.modelState(model)
	switch wants := t.wants(model); {
	case wants && e.ready(model):
		r.ready[model] = append(r.ready[model], e)
	case wants || has:
		r.pending[model] = r.pending[model] || !e.singleModel()
	}
}

// readyCount returns the number of ready replicas of a model in a data centre.
func (r *round) readyCount(location ModelLocation) int {
	count := 0
	for _, e := range r.ready[location.Model] {
		if e.DataCentre == location.DataCentre {
			count++
		}
	}
	return count
}

// otherReplicas returns the engines of which one must stay ready when the model
// leaves this engine: all other replicas if the data centre is known to have no
// demand, else those in the data centre. If there is none, the model must stay.
func (r *round) otherReplicas(model string, e *Engine) []domain.EndpointID {
	demand, known := r.demand[ModelLocation{model, e.DataCentre}]
	anywhere := known && demand.isZero()
	var others []domain.EndpointID
	for _, other := range r.ready[model] {
		if other.ID != e.ID && (anywhere || other.DataCentre == e.DataCentre) {
			others = append(others, other.ID)
		}
	}
	return others
}
