package endpointgate

import "time"

// Notice is what a response says about further requests to its endpoint.
type Notice struct {
	// Rest is how long the endpoint wants no request from this node, counted from the response; zero if it does not say.
	Rest time.Duration
	// Leaving is true if the endpoint finishes its requests and accepts no new ones.
	Leaving bool
	// Err describes header fields that are malformed or repeated, nil if there are none. Rest and Leaving hold what could be
	// decoded.
	Err error
}
