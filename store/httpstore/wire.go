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

// SwapResponse answers a compare-and-swap.
type SwapResponse struct {
	Revision store.Revision `json:"revision"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseResponse is the answer to a LeaseRequest.
type LeaseResponse struct {
	Lease store.LeaseID `json:"lease"`
}
