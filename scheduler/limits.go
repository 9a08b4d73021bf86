package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
)

// Limiter holds organisations to their limits over all nodes.
type Limiter interface {
	// Admit counts a request in, or returns a *LimitError.
	Admit(organisation *config.Organisation, promptTokens, answerTokens int) (LimitPermit, error)
}

// LimitPermit is a request counted in.
type LimitPermit interface {
	// Release counts it out with the tokens it really took. Only the first call counts.
	Release(promptTokens, answerTokens int)
}

// LimitError says which limit was met and when to come back.
type LimitError struct {
	// Reason is a text for the caller, such as "requests in flight".
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *LimitError) Error() string { return "limit reached: " + e.Reason }

// NoLimits admits everything.
type NoLimits struct{}

// Admit always succeeds.
func (NoLimits) Admit(*config.Organisation, int, int) (LimitPermit, error) { return noPermit{}, nil }

type noPermit struct{}

func (noPermit) Release(int, int) {}
