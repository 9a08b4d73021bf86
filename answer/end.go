package answer

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// End tells how an answer ended. A complete answer has an empty Outcome.
type End struct {
	// Outcome is empty when the answer is complete.
	Outcome domain.Outcome `cbor:"1,keyasint,omitempty"`
	// Reason is a short text for the caller when it is not.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Code names the reason for programs.
	Code Code `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when another attempt may fare better; zero for no advice.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Complete reports whether the whole answer was produced.
func (e End) Complete() bool { return e.Outcome == "" }
