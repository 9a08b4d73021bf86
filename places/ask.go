package places

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Ask is a request for a place at an endpoint of a service.
type Ask struct {
	// Name is the request's id, for the log.
	Name         string
	Service      string
	Organisation domain.OrganisationID
	Tier         domain.Tier
	// Within orders requests of the same tier: the route's where Tier is the organisation's.
	Within domain.Tier
	// RouteTier is the route's, also where Tier is the organisation's.
	RouteTier domain.Tier
	// PromptTokens and AnswerTokens are estimates of the work; zero for a plain call.
	PromptTokens int
	AnswerTokens int
	// Blocks identify the parts of the prompt, each together with all before it, BlockTokens are their tokens.
	Blocks      []uint64
	BlockTokens []int
	// Fingerprint identifies the attempt.
	Fingerprint uint64
	// EventGap is the longest pause between two events of the answer that is still on time, zero for none. An event holds
	// EventTokens tokens.
	EventGap    time.Duration
	EventTokens int
	// FirstByteDue is the instant of the latency objective, Due that at which the caller gives up.
	FirstByteDue time.Time
	Due          time.Time
	// Excluded endpoints are not wanted.
	Excluded []domain.EndpointID
	// Urgent asks continue an answer that has begun: they are not refused for a long queue.
	Urgent bool

	// routed is what the router sees, made once when the ask comes in.
	routed *capacity.Request
}

func (a *Ask) excludes(id domain.EndpointID) bool {
	for _, e := range a.Excluded {
		if e == id {
			return true
		}
	}
	return false
}

func (a *Ask) forRouter() *capacity.Request {
	return &capacity.Request{
		Name:         a.Name,
		Pool:         domain.PoolName(a.Service),
		Organisation: a.Organisation,
		Tier:         a.Tier,
		PromptTokens: a.PromptTokens,
		AnswerTokens: a.AnswerTokens,
		Blocks:       a.Blocks,
		BlockTokens:  a.BlockTokens,
		Fingerprint:  a.Fingerprint,
	}
}
