package load

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Attempt is the result of sending a request once. Times are relative to the start of
// the run.
type Attempt struct {
	Sent         time.Duration
	FirstTokenAt time.Duration
	Ended        time.Duration
	// Status is the HTTP status and Text the answer of a model. Complete is true if
	// the end of the answer was received.
	Status   int
	Text     string
	Complete bool
	// Outcome, Code and Detail are taken from the problem document of a failed attempt.
	// Detail is the error text if the request could not be sent or the response failed.
	Outcome domain.Outcome
	Code    string
	Detail  string
	// HungUp is true if the caller disconnected before the answer was complete.
	HungUp bool
}
