package endpointgate

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// rest is a period in which an endpoint wants no requests from this node.
type rest struct {
	// asked is how long the endpoint asked for, from receivedAt on.
	asked      time.Duration
	receivedAt boottime.Instant
	endsAt     boottime.Instant
}
