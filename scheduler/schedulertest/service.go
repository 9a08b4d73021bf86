package schedulertest

import (
	"context"
	"io"
	"net/http"
	"sync"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Service is a plain service that keeps a log.
type Service struct {
	// Respond makes the response.
	Respond func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error)

	mu    sync.Mutex
	calls []string
}

// Call logs the key and responds.
func (s *Service) Call(ctx context.Context, request endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	s.mu.Lock()
	s.calls = append(s.calls, request.Key)
	s.mu.Unlock()
	return s.Respond(ctx, request)
}

// Calls returns the keys it was sent, in order.
func (s *Service) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// NewResponse returns a response with a body.
func NewResponse(status int, body io.Reader) endpoint.ServiceResponse {
	return endpoint.ServiceResponse{Status: status, Header: http.Header{"X-Served": {"yes"}}, Body: io.NopCloser(body)}
}

// Endpoints are the adapters of a test.
type Endpoints struct {
	Engines  map[domain.EndpointID]endpoint.Engine
	Services map[domain.EndpointID]endpoint.Service
}

// Engine finds an engine.
func (e Endpoints) Engine(id domain.EndpointID) (endpoint.Engine, bool) {
	engine, ok := e.Engines[id]
	return engine, ok
}

// Service finds a service.
func (e Endpoints) Service(id domain.EndpointID) (endpoint.Service, bool) {
	service, ok := e.Services[id]
	return service, ok
}
