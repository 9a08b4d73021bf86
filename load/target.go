package load

import (
	"net/http"

	"hawthornrill.example/hawthornrill/domain"
)

// Target receives the requests of a run.
type Target interface {
	// Nodes returns the number of nodes that serve callers of a data centre. Nodes
	// are numbered from 0.
	Nodes(dataCentre domain.DataCentre) int
	// Send sends the request to a node and streams the response into w. It returns
	// when the response is complete or has failed, or when the request's context is
	// done.
	Send(dataCentre domain.DataCentre, node int, r *http.Request, w http.ResponseWriter) error
}
