package coordinator

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Step is a planned order. The holder of the lease fills in its fencing number.
type Step struct {
	Endpoint domain.EndpointID
	Order    endpoint.Order
	// OtherReplicas are engines of which at least one must have the model ready
	// when it is unloaded here; none for a load.
	OtherReplicas []domain.EndpointID
}
