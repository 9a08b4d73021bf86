package coordinator

import (
	"time"
)

// notePressure notes since when places press, have runners to spare, and models
// have no runner.
func (p *Planner) notePressure(r *round) {
	places := make(map[ModelLocation]bool)
	models := make(map[string]bool)
	for _, model := range r.models {
		models[model] = true
		keepSince(p.lacking, model, len(r.ready[model]) == 0, r.now)
		for _, dc := range r.centres[model] {
			place := ModelLocation{model, dc}
			places[place] = true
			keepSince(p.presses, place, p.pressing(r, place), r.now)
			keepSince(p.idles, place, p.idle(r, place), r.now)
		}
	}
	forget(p.presses, places)
	forget(p.idles, places)
	forget(p.lacking, models)
	forget(p.changed, models)
}

// pressing reports whether the place wants one more runner.
func (p *Planner) pressing(r *round, place ModelLocation) bool {
	load := r.demand[place]
	return load.Waiting > 0 && load.Waiting >= p.options.ScaleUpWaiting*r.readyIn(place)
}

// idle reports whether the place could do with one runner less.
func (p *Planner) idle(r *round, place ModelLocation) bool {
	load, known := r.demand[place]
	rest := r.readyIn(place) - 1
	return known && load.Waiting == 0 && rest >= 0 && load.Tokens <= rest*p.options.ScaleDownTokens
}

// lasted reports whether a condition has held for a time.
func lasted[K comparable](since map[K]time.Time, key K, now time.Time, d time.Duration) bool {
	begun, ok := since[key]
	return ok && now.Sub(begun) >= d
}

func keepSince[K comparable](since map[K]time.Time, key K, holds bool, now time.Time) {
	if !holds {
		delete(since, key)
		return
	}
	if _, ok := since[key]; !ok {
		since[key] = now
	}
}

func forget[K comparable](since map[K]time.Time, keep map[K]bool) {
	for key := range since {
		if !keep[key] {
			delete(since, key)
		}
	}
}
