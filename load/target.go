package load

import (
	"net/http"

	"hawthornrill.example/hawthornrill/domain"
)

// Target is where requests are sent.
type Target interface {
	// Nodes returns how many nodes take callers of a data centre; they are
	// numbered from 0.
	Nodes(place domain.DataCentre) int
	// Send has a node answer the request into w, as it comes. It returns when the
	// answer has ended, broken or the request's context has ended.
	Send(place domain.DataCentre, node int, r *http.Request, w http.ResponseWriter) error
}
