package load

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Attempt is what one sending of a request came to. Instants are counted from
// the start of the run.
type Attempt struct {
	Sent         time.Duration
	FirstTokenAt time.Duration
	Ended        time.Duration
	// Status is the HTTP status, Text the answer of a model, Complete whether its
	// end came.
	Status   int
	Text     string
	Complete bool
	// Outcome and Code are those of a problem, Detail what it says.
	Outcome domain.Outcome
	Code    string
	Detail  string
	// HungUp is true if the caller left before the end.
	HungUp bool
}
