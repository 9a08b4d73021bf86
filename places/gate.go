package places

import (
	"time"

	"hawthornrill.example/hawthornrill/directory"
)

// Gate decides whether this node may send requests to an endpoint.
type Gate interface {
	// Bars reports whether the endpoint must get no requests of this node, however long they wait: it is leaving, or the other
	// nodes have all of its rate limit.
	Bars(e *directory.Endpoint) bool
	// Allows reports whether this node may send the endpoint one more request now.
	Allows(e *directory.Endpoint) bool
	// Take counts a request for the endpoint and returns its rate limit in requests per second, zero if there is none.
	Take(e *directory.Endpoint) (perSecond float64)
	// Share is the number of requests that this node may have at the endpoint at a time, whatever is free there; false if there
	// is no such bound.
	Share(e *directory.Endpoint) (share int, bound bool)
	// RestEndsIn is the time until the end of the rest that the endpoint asked this node for, zero if it does not rest.
	RestEndsIn(e *directory.Endpoint) time.Duration
	// AnyRest reports whether an endpoint of any service rests. It is cheap.
	AnyRest() bool
}

// openGate is used when no gate is configured. It bars endpoints that are leaving.
type openGate struct{}

func (openGate) Bars(e *directory.Endpoint) bool              { return e.Leaving }
func (openGate) Allows(e *directory.Endpoint) bool            { return !e.Leaving }
func (openGate) Take(*directory.Endpoint) float64             { return 0 }
func (openGate) Share(*directory.Endpoint) (int, bool)        { return 0, false }
func (openGate) RestEndsIn(*directory.Endpoint) time.Duration { return 0 }
func (openGate) AnyRest() bool                                { return false }
