package load

import (
	"time"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
)

// Model describes a user's workload.
type Model struct {
	Deployment *deployment.Deployment
	// Sources are the organisations' callers.
	Sources []Source
	// Calls are the plain calls, CallsPerConversation how many there are for each
	// conversation.
	Calls                []CallKind
	CallsPerConversation float64
	// BurstInterval is the mean time between bursts, BurstDuration how long each lasts, and
	// BurstFactor how much higher its rate is.
	BurstInterval, BurstDuration time.Duration
	BurstFactor                  float64
	// Retry and HangUpShare are the shares of impatient callers and of those who leave.
	RetryShare, HangUpShare float64
}

// Source is one organisation's callers.
type Source struct {
	Organisation domain.OrganisationID
	// Share is its part of the conversations.
	Share float64
	// Guide is the length in tokens of the instructions that begin every prompt of
	// the organisation.
	SystemPromptTokens int
	Kinds              []Kind
	// Turns is the mean number of turns, Think the mean time between them.
	MeanTurns int
	ThinkTime time.Duration
	// Together, if above 1, is how many conversations begin at once.
	GroupSize int
}

// CallKind is a sort of plain call.
type CallKind struct {
	Name, Method, Path, Body string
	Share                    float64
	// Once marks a call that must not be repeated.
	NonIdempotent bool
	Timeout       time.Duration
}

// ModelOf returns the workload of a deployment.
func ModelOf(d *deployment.Deployment) Model {
	if d.Name == deployment.Pryce().Name {
		return pryce(d)
	}
	return cucine(d)
}
