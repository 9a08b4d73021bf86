package coordinator

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Step is an order to give next. Its Fence is filled in by the holder.
type Step struct {
	Endpoint domain.EndpointID
	Order    endpoint.Order
	// Witnesses are engines of which one must have the model ready when it is
	// unloaded here; none for a load.
	OtherReplicas []domain.EndpointID
}
