package load

import (
	"time"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
)

// Model is the workload model of a deployment.
type Model struct {
	Deployment *deployment.Deployment
	// Sources are the traffic sources, one for each organisation.
	Sources []Source
	// Calls are the kinds of service calls. Each conversation makes
	// CallsPerConversation of them.
	Calls                []CallKind
	CallsPerConversation float64
	// BurstInterval is the mean time between bursts, BurstDuration the length of a burst
	// and BurstFactor the factor by which its arrival rate is higher.
	BurstInterval, BurstDuration time.Duration
	BurstFactor                  float64
	// RetryShare is the share of requests that are sent again before the timeout,
	// HangUpShare the share whose caller disconnects early.
	RetryShare, HangUpShare float64
}

// Source generates the traffic of one organisation.
type Source struct {
	Organisation domain.OrganisationID
	// Share is the weight of the organisation in the number of conversations.
	Share float64
	// SystemPromptTokens is the length of the system prompt, which is shared by all
	// conversations of the organisation.
	SystemPromptTokens int
	Kinds              []Kind
	// MeanTurns is the mean number of turns in a conversation, ThinkTime the mean time
	// between two turns.
	MeanTurns int
	ThinkTime time.Duration
	// GroupSize, if above 1, is the number of conversations that start together.
	GroupSize int
}

// CallKind is a class of service calls.
type CallKind struct {
	Name, Method, Path, Body string
	Share                    float64
	// NonIdempotent marks a call that must not be executed twice.
	NonIdempotent bool
	Timeout       time.Duration
}

// ModelOf returns the workload model of a deployment.
func ModelOf(d *deployment.Deployment) Model {
	if d.Name == deployment.Pryce().Name {
		return pryce(d)
	}
	return cucine(d)
}
