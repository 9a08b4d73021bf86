package node

import (
	"sync"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Adapters makes the adapters to endpoints.
type Adapters interface {
	Engine(row *config.EndpointRow) endpoint.Engine
	Service(row *config.EndpointRow) endpoint.Service
}

// endpoints finds the adapter of an endpoint by the configuration in force. An
// adapter is made when first needed and again when the address changes.
type endpoints struct {
	config   config.View
	adapters Adapters

	mu       sync.RWMutex
	engines  map[domain.EndpointID]engineAt
	services map[domain.EndpointID]serviceAt
}

var _ dispatch.Endpoints = (*endpoints)(nil)

type engineAt struct {
	address string
	engine  endpoint.Engine
}

type serviceAt struct {
	address string
	service endpoint.Service
}

func newEndpoints(view config.View, adapters Adapters) *endpoints {
	return &endpoints{
		config:   view,
		adapters: adapters,
		engines:  make(map[domain.EndpointID]engineAt),
		services: make(map[domain.EndpointID]serviceAt),
	}
}

// row returns the endpoint's row if it is of the kind.
func (e *endpoints) row(id domain.EndpointID, kind config.EndpointKind) (*config.EndpointRow, bool) {
	snapshot := e.config.Current()
	if snapshot == nil {
		return nil, false
	}
	row, ok := snapshot.Endpoints[id]
	return row, ok && row.Kind == kind
}

// Engine implements dispatch.Endpoints.
func (e *endpoints) Engine(id domain.EndpointID) (endpoint.Engine, bool) {
	row, ok := e.row(id, config.KindEngine)
	if !ok {
		return nil, false
	}
	e.mu.RLock()
	known, ok := e.engines[id]
	e.mu.RUnlock()
	if ok && known.address == row.Address {
		return known.engine, true
	}
	engine := e.adapters.Engine(row)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines[id] = engineAt{address: row.Address, engine: engine}
	return engine, true
}

// Service implements dispatch.Endpoints.
func (e *endpoints) Service(id domain.EndpointID) (endpoint.Service, bool) {
	row, ok := e.row(id, config.KindService)
	if !ok {
		return nil, false
	}
	e.mu.RLock()
	known, ok := e.services[id]
	e.mu.RUnlock()
	if ok && known.address == row.Address {
		return known.service, true
	}
	service := e.adapters.Service(row)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.services[id] = serviceAt{address: row.Address, service: service}
	return service, true
}
