package brittle

import "hawthornrill.example/hawthornrill/boottime"

// Kind is the kind of a Statement.
type Kind uint8

const (
	// None: the response says nothing, so that the service is not brittle.
	None Kind = iota
	// Stated: the endpoints are brittle.
	Stated
	// Invalid: the response says something malformed. What is known stays in force.
	Invalid
)

// Statement is what a response says about the brittleness of its endpoint.
type Statement struct {
	Kind Kind
	// MaxRejections is the number of requests in a second beyond which an endpoint that rejects them falls over, 0 or more; set
	// only if Kind is Stated.
	MaxRejections int
}

// known is the latest statement about a service.
type known struct {
	brittle       bool
	maxRejections int
	// version is the software version of the endpoint that stated it, empty if it is not known.
	version string
	// statedAt is when the request was sent whose response stated it, receivedAt when this node received one itself.
	statedAt, receivedAt boottime.Instant
}
