package httpstore

import (
	"hawthornrill.example/hawthornrill/store"
)

// Paths of the service.
const (
	PathKey    = "/v1/key"
	PathKeys   = "/v1/keys"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
)

// Names of query parameters.
const (
	ParameterKey      = "key"
	ParameterPrefix   = "prefix"
	ParameterExpected = "expected"
	ParameterLease    = "lease"
	ParameterAfter    = "after"
)

// SwapResponse is the response to a compare-and-swap.
type SwapResponse struct {
	Revision store.Revision `json:"revision"`
}

// LeaseRequest is the request for a new lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Lease store.LeaseID `json:"lease"`
}
