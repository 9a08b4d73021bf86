package coordinator

import (
	"time"
)

// target is what an engine should serve.
type target struct {
	models map[string]*wanted
	// avoid tells until when a model is not tried here.
	avoid map[string]time.Time
}

// wanted is a model of a target.
type wanted struct {
	version string
	// since is when the engine last had it, or when it was first wanted.
	since time.Time
}

func newTarget() *target {
	return &target{models: make(map[string]*wanted), avoid: make(map[string]time.Time)}
}

func (t *target) wants(model string) bool { return t.models[model] != nil }

func (t *target) add(now time.Time, model, version string) {
	t.models[model] = &wanted{version: version, since: now}
}

// adoptTarget takes what the engine has as its target.
func adoptTarget(now time.Time, e *Engine) *target {
	t := newTarget()
	for _, m := range e.State.Models {
		if e.allows(m.Model) {
			t.add(now, m.Model, m.Version)
		}
	}
	return t
}

// refresh brings the target in line with the engine's row, and notes what the
// engine has.
func (t *target) refresh(now time.Time, e *Engine) {
	for model := range t.models {
		if !e.allows(model) {
			delete(t.models, model)
		}
	}
	if e.fixed() && !t.wants(e.Models[0]) {
		t.add(now, e.Models[0], "")
	}
	for model, w := range t.models {
		if m, ok := e.has(model); ok {
			w.since, w.version = now, m.Version
		}
	}
}

// giveUp drops what the engine has failed to begin to load for too long.
func (t *target) giveUp(now time.Time, e *Engine, patience time.Duration) {
	for model, w := range t.models {
		if e.fixed() || now.Sub(w.since) <= patience {
			continue
		}
		delete(t.models, model)
		t.avoid[model] = now.Add(patience)
	}
}

// occupied counts the models that the engine has or should have.
func (t *target) occupied(e *Engine) int {
	count := len(t.models)
	for _, m := range e.State.Models {
		if !t.wants(m.Model) {
			count++
		}
	}
	return count
}
