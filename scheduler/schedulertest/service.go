package schedulertest

import (
	"context"
	"io"
	"net/http"
	"sync"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Service is a plain service that logs its calls.
type Service struct {
	// Respond produces the response.
	Respond func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error)

	mu    sync.Mutex
	calls []string
}

// Call logs the key and calls Respond.
func (s *Service) Call(ctx context.Context, request endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	s.mu.Lock()
	s.calls = append(s.calls, request.Key)
	s.mu.Unlock()
	return s.Respond(ctx, request)
}

// Calls returns the keys of the calls, in order.
func (s *Service) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// NewResponse returns a response with a body.
func NewResponse(status int, body io.Reader) endpoint.ServiceResponse {
	return endpoint.ServiceResponse{Status: status, Header: http.Header{"X-Served": {"yes"}}, Body: io.NopCloser(body)}
}

// Endpoints holds the adapters of a test, by endpoint.
type Endpoints struct {
	Engines  map[domain.EndpointID]endpoint.Engine
	Services map[domain.EndpointID]endpoint.Service
}

// Engine returns the engine with this identifier.
func (e Endpoints) Engine(id domain.EndpointID) (endpoint.Engine, bool) {
	engine, ok := e.Engines[id]
	return engine, ok
}

// Service returns the service with this identifier.
func (e Endpoints) Service(id domain.EndpointID) (endpoint.Service, bool) {
	service, ok := e.Services[id]
	return service, ok
}
