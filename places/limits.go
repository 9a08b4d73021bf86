package places

import "hawthornrill.example/hawthornrill/directory"

// Limits are the endpoints' own limits on what all nodes together send them.
type Limits interface {
	// Bars reports whether this node is to send the endpoint nothing for as long as its limit is in force.
	Bars(e *directory.Endpoint) bool
	// Allows reports whether this node may send the endpoint one request more now.
	Allows(e *directory.Endpoint) bool
	// Take counts a request that is sent, and returns the limit in requests a second, zero if there is none.
	Take(e *directory.Endpoint) (perSecond float64)
}

// unlimited is for endpoints that name no limits.
type unlimited struct{}

func (unlimited) Bars(*directory.Endpoint) bool    { return false }
func (unlimited) Allows(*directory.Endpoint) bool  { return true }
func (unlimited) Take(*directory.Endpoint) float64 { return 0 }
