package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
)

// Limiter enforces organisations' limits across all nodes.
type Limiter interface {
	// Admit admits a request, or returns a *LimitError.
	Admit(organisation *config.Organisation, promptTokens, answerTokens int) (LimitPermit, error)
}

// LimitPermit represents an admitted request.
type LimitPermit interface {
	// Release ends the request with the tokens that it actually used. Only the first
	// call has an effect.
	Release(promptTokens, answerTokens int)
}

// LimitError states which limit was reached and when to retry.
type LimitError struct {
	// Reason is a text for the caller, such as "requests in flight".
	Reason     string
	RetryAfter time.Duration
}

func (e *LimitError) Error() string { return "limit reached: " + e.Reason }

// NoLimits admits every request.
type NoLimits struct{}

// Admit implements Limiter.
func (NoLimits) Admit(*config.Organisation, int, int) (LimitPermit, error) {
	return unlimitedPermit{}, nil
}

type unlimitedPermit struct{}

func (unlimitedPermit) Release(int, int) {}
