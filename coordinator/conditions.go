package coordinator

import (
	"time"
)

// updateConditions updates since when locations have been overloaded or
// overprovisioned, and models without a ready replica.
func (p *Planner) updateConditions(r *round) {
	locations := make(map[ModelLocation]bool)
	models := make(map[string]bool)
	for _, model := range r.models {
		models[model] = true
		trackSince(p.missingSince, model, len(r.ready[model]) == 0, r.now)
		for _, dc := range r.dataCentres[model] {
			location := ModelLocation{model, dc}
			locations[location] = true
			trackSince(p.overloadedSince, location, p.overloaded(r, location), r.now)
			trackSince(p.overprovisionedSince, location, p.overprovisioned(r, location), r.now)
		}
	}
	retainKeys(p.overloadedSince, locations)
	retainKeys(p.overprovisionedSince, locations)
	retainKeys(p.missingSince, models)
	retainKeys(p.changedAt, models)
}

// overloaded reports whether the location needs one more replica.
func (p *Planner) overloaded(r *round, location ModelLocation) bool {
	demand := r.demand[location]
	return demand.Waiting > 0 && demand.Waiting >= p.options.ScaleUpWaiting*r.readyCount(location)
}

// overprovisioned reports whether the demand in the location can be served by one
// replica fewer.
func (p *Planner) overprovisioned(r *round, location ModelLocation) bool {
	demand, known := r.demand[location]
	remaining := r.readyCount(location) - 1
	return known && demand.Waiting == 0 && remaining >= 0 && demand.Tokens <= remaining*p.options.ScaleDownTokens
}

// persisted reports whether a condition has held for at least d.
func persisted[K comparable](since map[K]time.Time, key K, now time.Time, d time.Duration) bool {
	start, ok := since[key]
	return ok && now.Sub(start) >= d
}

func trackSince[K comparable](since map[K]time.Time, key K, holds bool, now time.Time) {
	if !holds {
		delete(since, key)
		return
	}
	if _, ok := since[key]; !ok {
		since[key] = now
	}
}

func retainKeys[K comparable](since map[K]time.Time, keep map[K]bool) {
	for key := range since {
		if !keep[key] {
			delete(since, key)
		}
	}
}
