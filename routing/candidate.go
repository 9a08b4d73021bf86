package routing

import "hawthornrill.example/hawthornrill/capacity"

// Candidate is an endpoint that a decision may choose.
type Candidate struct {
	State   *capacity.EndpointState
	Learned *Endpoint
	// Estimate is what the Scorers have found so far.
	Estimate Estimate
	// index is the place in the owner's list.
	index int
}
