package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Request is what the steps see of an ask.
type Request struct {
	Now time.Time
	Ask *capacity.Request
	// Due is when the answer must be complete.
	Due time.Time
	// Suspect is true if the same content was running where an endpoint crashed.
	Suspect bool
	// Session is where the session's last turn went, zero if not known.
	Session SessionPlace
	// Affinity is equal for asks that had better meet at one endpoint when all else
	// is equal.
	Affinity uint64
}

// SessionPlace tells where the last turn of a session went.
type SessionPlace struct {
	Endpoint domain.EndpointID
	// Tokens is the length of the conversation after that turn.
	Tokens int
	// At is when it was placed.
	At time.Time
}
