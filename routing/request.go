package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Request is the input of the pipeline steps.
type Request struct {
	Now     time.Time
	Request *capacity.Request
	// Due is the deadline for the complete answer.
	Due time.Time
	// Suspect is true if the same content was running on an endpoint when it crashed.
	Suspect bool
	// Session is the location of the session's last turn, zero if unknown.
	Session SessionLocation
	// Affinity is equal for requests that should share an endpoint if costs are equal.
	Affinity uint64
}

// SessionLocation describes the placement of the last turn of a session.
type SessionLocation struct {
	Endpoint domain.EndpointID
	// Tokens is the length of the conversation after that turn.
	Tokens int
	// PlacedAt is the time of the grant.
	PlacedAt time.Time
}
