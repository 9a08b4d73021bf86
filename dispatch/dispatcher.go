package dispatch

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

var errRefused = endpoint.ErrRefused

// Endpoints looks up the adapter of an endpoint.
type Endpoints interface {
	Engine(id domain.EndpointID) (endpoint.Engine, bool)
	Service(id domain.EndpointID) (endpoint.Service, bool)
}

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	endpoints Endpoints
	options   Options
}

// New returns a dispatcher; zero options mean defaults.
func New(endpoints Endpoints, options Options) *Dispatcher {
	return &Dispatcher{endpoints: endpoints, options: options.withDefaults()}
}

// logBreak logs why an answer broke off, unless this node ended it.
func (d *Dispatcher) logBreak(ctx context.Context, key domain.RequestKey, id domain.EndpointID, err error) {
	if cancelCause(ctx) != nil {
		return
	}
	d.options.Log.Warn().Str("request", key.String()).Str("endpoint", string(id)).AnErr("cause", err).Msg("answer broke off")
}
