package node

import (
	"errors"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/limits"
	"hawthornrill.example/hawthornrill/scheduler"
)

// admission adapts limits.Service to the scheduler.
type admission struct{ limits *limits.Service }

var _ scheduler.Limiter = admission{}

// Admit implements scheduler.Limiter.
func (a admission) Admit(org *config.Organisation, promptTokens, answerTokens int) (scheduler.LimitPermit, error) {
	permit, err := a.limits.Admit(org, promptTokens, answerTokens)
	if err == nil {
		return permit, nil
	}
	var refusal *limits.Error
	if !errors.As(err, &refusal) {
		return nil, err
	}
	return nil, &scheduler.LimitError{Reason: limitReason(err), RetryAfter: refusal.RetryAfter}
}

// limitReason returns the name of the exceeded limit, as shown to the caller.
func limitReason(err error) string {
	if errors.Is(err, limits.ErrTokenRate) {
		return "tokens a minute"
	}
	return "requests in flight"
}
