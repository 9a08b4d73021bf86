package answer

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// End describes how an answer ended.
type End struct {
	// Outcome is empty if the answer is complete.
	Outcome domain.Outcome `cbor:"1,keyasint,omitempty"`
	// Reason is a short explanation for the caller if the answer is not complete.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Code is the machine-readable reason.
	Code Code `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the recommended delay before another attempt; zero means none is given.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Complete reports whether the whole answer was produced.
func (e End) Complete() bool { return e.Outcome == "" }
