package daemon

import (
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/endpoint/httpservice"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
)

// httpAdapters connects to endpoints over HTTP through a shared connection pool.
type httpAdapters struct{ transport *onesend.Transport }

// Engine implements node.Adapters.
func (a httpAdapters) Engine(row *config.EndpointRow) endpoint.Engine {
	return httpengine.New(row.Address, a.transport)
}

// Service implements node.Adapters.
func (a httpAdapters) Service(row *config.EndpointRow) endpoint.Service {
	return httpservice.New(row.Address, a.transport)
}
