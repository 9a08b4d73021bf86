package node

import (
	"maps"
	"sync"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Adapters creates the clients through which the node calls endpoints.
type Adapters interface {
	Engine(row *config.EndpointRow) endpoint.Engine
	Service(row *config.EndpointRow) endpoint.Service
}

// endpoints looks up the adapter of an endpoint in the current configuration.
// Adapters are cached: one is created on first use and replaced when the
// endpoint's address changes.
type endpoints struct {
	config   config.View
	adapters Adapters

	mu       sync.RWMutex
	engines  map[domain.EndpointID]cachedEngine
	services map[domain.EndpointID]cachedService
}

var _ dispatch.Endpoints = (*endpoints)(nil)

type cachedEngine struct {
	address string
	engine  endpoint.Engine
}

type cachedService struct {
	address string
	service endpoint.Service
}

func newEndpoints(view config.View, adapters Adapters) *endpoints {
	return &endpoints{
		config:   view,
		adapters: adapters,
		engines:  make(map[domain.EndpointID]cachedEngine),
		services: make(map[domain.EndpointID]cachedService),
	}
}

// row returns the endpoint's configuration row if it has the given kind.
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
	cached, ok := e.engines[id]
	e.mu.RUnlock()
	if ok && cached.address == row.Address {
		return cached.engine, true
	}
	engine := e.adapters.Engine(row)
	e.mu.Lock()
	defer e.mu.Unlock()
	prune(e.engines, e.config.Current())
	e.engines[id] = cachedEngine{address: row.Address, engine: engine}
	return engine, true
}

// Service implements dispatch.Endpoints.
func (e *endpoints) Service(id domain.EndpointID) (endpoint.Service, bool) {
	row, ok := e.row(id, config.KindService)
	if !ok {
		return nil, false
	}
	e.mu.RLock()
	cached, ok := e.services[id]
	e.mu.RUnlock()
	if ok && cached.address == row.Address {
		return cached.service, true
	}
	service := e.adapters.Service(row)
	e.mu.Lock()
	defer e.mu.Unlock()
	prune(e.services, e.config.Current())
	e.services[id] = cachedService{address: row.Address, service: service}
	return service, true
}

// prune drops the endpoints that are not configured any more.
func prune[T any](cached map[domain.EndpointID]T, snapshot *config.Snapshot) {
	maps.DeleteFunc(cached, func(id domain.EndpointID, _ T) bool {
		_, configured := snapshot.Endpoints[id]
		return !configured
	})
}
