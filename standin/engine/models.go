package engine

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/endpoint"
)

// models is what an engine serves.
type models struct {
	// any is true until the first order about models to an engine without models
	// of its own: it serves whatever is asked.
	any    bool
	fence  uint64
	role   endpoint.Role
	byName map[string]*model
}

// model is a model that is served or loading.
type model struct {
	version  string
	ready    bool
	adapters map[string]*adapter
}

type adapter struct{ ready bool }

func newModels(names []string) models {
	m := models{any: len(names) == 0, role: endpoint.RoleMixed, byName: make(map[string]*model)}
	for _, name := range names {
		m.add(name, "").ready = true
	}
	return m
}

func (m *models) add(name, version string) *model {
	added := &model{version: version, adapters: make(map[string]*adapter)}
	m.byName[name] = added
	return added
}

// serves reports whether a request may name the model: a ready one, or a ready
// adapter of one.
func (m *models) serves(name string) bool {
	if m.any {
		return true
	}
	for modelName, model := range m.byName {
		if !model.ready {
			continue
		}
		a, ok := model.adapters[name]
		if modelName == name || ok && a.ready {
			return true
		}
	}
	return false
}

// state describes the models to outsiders.
func (m *models) state() endpoint.EngineState {
	state := endpoint.EngineState{Fence: m.fence, Role: m.role, Models: []endpoint.ModelState{}}
	for name, model := range m.byName {
		state.Models = append(state.Models, model.state(name))
	}
	slices.SortFunc(state.Models, func(a, b endpoint.ModelState) int { return cmp.Compare(a.Model, b.Model) })
	return state
}

func (m *model) state(name string) endpoint.ModelState {
	state := endpoint.ModelState{Model: name, Version: m.version, Ready: m.ready}
	for name, a := range m.adapters {
		state.Adapters = append(state.Adapters, endpoint.AdapterState{Adapter: name, Ready: a.ready})
	}
	slices.SortFunc(state.Adapters, func(a, b endpoint.AdapterState) int { return cmp.Compare(a.Adapter, b.Adapter) })
	return state
}
