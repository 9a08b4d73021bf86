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
	// Calls are the plain calls, PerConversation how many there are for each
	// conversation.
	Calls           []CallKind
	PerConversation float64
	// BurstEvery is the mean time between bursts, BurstFor how long each lasts, and
	// BurstFactor how much higher its rate is.
	BurstEvery, BurstFor time.Duration
	BurstFactor          float64
	// Retry and HangUp are the shares of impatient callers and of those who leave.
	Retry, HangUp float64
}

// Source is one organisation's callers.
type Source struct {
	Organisation domain.OrganisationID
	// Share is its part of the conversations.
	Share float64
	// Guide is the length in tokens of the instructions that begin every prompt of
	// the organisation.
	Guide int
	Kinds []Kind
	// Turns is the mean number of turns, Think the mean time between them.
	Turns int
	Think time.Duration
	// Together, if above 1, is how many conversations begin at once.
	Together int
}

// CallKind is a sort of plain call.
type CallKind struct {
	Name, Method, Path, Body string
	Share                    float64
	// Once marks a call that must not be repeated.
	Once     bool
	Patience time.Duration
}

// ModelOf returns the workload of a deployment.
func ModelOf(d *deployment.Deployment) Model {
	if d.Name == deployment.Pryce().Name {
		return pryce(d)
	}
	return cucine(d)
}
