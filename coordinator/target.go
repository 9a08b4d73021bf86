package coordinator

import (
	"time"
)

// target is the set of models that an engine should serve.
type target struct {
	models map[string]*targetModel
	// avoidUntil is the time until which a model is not placed on this engine.
	avoidUntil map[string]time.Time
}

// targetModel is a model of a target.
type targetModel struct {
	version string
	// lastSeen is when the engine last had the model, or when the model was added.
	lastSeen time.Time
}

func newTarget() *target {
	return &target{models: make(map[string]*targetModel), avoidUntil: make(map[string]time.Time)}
}

func (t *target) wants(model string) bool { return t.models[model] != nil }

func (t *target) add(now time.Time, model, version string) {
	t.models[model] = &targetModel{version: version, lastSeen: now}
}

// initialTarget returns a target of the models that the engine has.
func initialTarget(now time.Time, e *Engine) *target {
	t := newTarget()
	for _, m := range e.State.Models {
		if e.allows(m.Model) {
			t.add(now, m.Model, m.Version)
		}
	}
	return t
}

// refresh brings the target in line with the row of the engine and records which
// models the engine has.
func (t *target) refresh(now time.Time, e *Engine) {
	for model := range t.models {
		if !e.allows(model) {
			delete(t.models, model)
		}
	}
	if e.singleModel() && !t.wants(e.Models[0]) {
		t.add(now, e.Models[0], "")
	}
	for model, m := range t.models {
		if state, ok := e.modelState(model); ok {
			m.lastSeen, m.version = now, state.Version
		}
	}
}

// dropFailedLoads removes the models that the engine has not started to load within
// the timeout.
func (t *target) dropFailedLoads(now time.Time, e *Engine, timeout time.Duration) {
	for model, m := range t.models {
		if e.singleModel() || now.Sub(m.lastSeen) <= timeout {
			continue
		}
		delete(t.models, model)
		t.avoidUntil[model] = now.Add(timeout)
	}
}

// modelCount returns the number of models that the engine has or should have.
func (t *target) modelCount(e *Engine) int {
	count := len(t.models)
	for _, m := range e.State.Models {
		if !t.wants(m.Model) {
			count++
		}
	}
	return count
}
