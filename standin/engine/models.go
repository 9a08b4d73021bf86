package engine

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/endpoint"
)

// models holds the models that an engine serves, and its role.
type models struct {
	// servesAny is true for an engine without configured models until its first
	// load or unload order: it then serves requests for any model.
	servesAny bool
	fence     uint64
	role      endpoint.Role
	byName    map[string]*model
}

// model is a model that is loaded or loading.
type model struct {
	version  string
	ready    bool
	adapters map[string]*adapter
}

type adapter struct{ ready bool }

func newModels(names []string) models {
	m := models{servesAny: len(names) == 0, role: endpoint.RoleMixed, byName: make(map[string]*model)}
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

// serves reports whether name is a ready model or a ready adapter of a ready
// model.
func (m *models) serves(name string) bool {
	if m.servesAny {
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

// state returns the models, sorted by name, as reported to callers.
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
