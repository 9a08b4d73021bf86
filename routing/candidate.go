package routing

import "hawthornrill.example/hawthornrill/capacity"

// Candidate is an endpoint under consideration for a routing decision.
type Candidate struct {
	State   *capacity.EndpointState
	Learned *Endpoint
	// Estimate accumulates the results of the Scorers.
	Estimate Estimate
	// index is the position in the list passed to Router.Choose.
	index int
}
