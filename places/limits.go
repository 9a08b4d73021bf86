package places

import "hawthornrill.example/hawthornrill/directory"

// Limits are the endpoints' own rate limits on requests from all nodes together.
type Limits interface {
	// Bars reports whether this node must send the endpoint nothing while its limit is in force.
	Bars(e *directory.Endpoint) bool
	// Allows reports whether this node may send the endpoint one more request now.
	Allows(e *directory.Endpoint) bool
	// Take counts a dispatched request and returns the limit in requests per second, zero if there is none.
	Take(e *directory.Endpoint) (perSecond float64)
}

// unlimited is used when no limits are configured.
type unlimited struct{}

func (unlimited) Bars(*directory.Endpoint) bool    { return false }
func (unlimited) Allows(*directory.Endpoint) bool  { return true }
func (unlimited) Take(*directory.Endpoint) float64 { return 0 }
