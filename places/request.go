package places

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Request is a request for a slot at an endpoint of a service.
type Request struct {
	// ID is the request's ID, for the log.
	ID           string
	Service      string
	Organisation domain.OrganisationID
	Tier         domain.Tier
	// SubTier orders requests of the same tier: it is the route's tier where Tier is the organisation's.
	SubTier domain.Tier
	// RouteTier is always the route's tier, even where Tier is the organisation's.
	RouteTier domain.Tier
	// PromptTokens and AnswerTokens are estimates of the work; zero for a plain call.
	PromptTokens int
	AnswerTokens int
	// Blocks are prefix hashes of the prompt's blocks, each covering all blocks before it; BlockTokens are the blocks'
	// token counts.
	Blocks      []uint64
	BlockTokens []int
	// Fingerprint identifies the attempt.
	Fingerprint uint64
	// EventGap is the longest allowed gap between two events of the answer, zero for no bound. An event holds
	// EventTokens tokens.
	EventGap    time.Duration
	EventTokens int
	// FirstByteDue is the deadline of the latency objective, Due the time at which the caller gives up.
	FirstByteDue time.Time
	Due          time.Time
	// Excluded endpoints must not be chosen.
	Excluded []domain.EndpointID
	// Version is the only software version whose endpoints may be chosen, empty for any.
	Version string
	// Urgent requests belong to an answer that their caller is receiving: they are not refused for a long queue.
	Urgent bool
	// Resumption is true if the request continues a stream that has begun, at this node or elsewhere. It counts as on time, and waits for
	// maxResumptionWait at most unless it is urgent.
	Resumption bool

	// capacityRequest is the router's form of the request, built once on arrival.
	capacityRequest *capacity.Request
}

// continues reports whether the request belongs to an answer that has begun.
func (r *Request) continues() bool { return r.Urgent || r.Resumption }

// accepts reports whether the request may go to the endpoint.
func (r *Request) accepts(ep *trackedEndpoint) bool {
	return (r.Version == "" || ep.endpoint.Version == r.Version) && !slices.Contains(r.Excluded, ep.id())
}

func (r *Request) toCapacityRequest() *capacity.Request {
	return &capacity.Request{
		Name:         r.ID,
		Pool:         domain.PoolName(r.Service),
		Organisation: r.Organisation,
		Tier:         r.Tier,
		PromptTokens: r.PromptTokens,
		AnswerTokens: r.AnswerTokens,
		Blocks:       r.Blocks,
		BlockTokens:  r.BlockTokens,
		Fingerprint:  r.Fingerprint,
	}
}
