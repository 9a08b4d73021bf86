package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// EndpointState is what an owner knows exactly of an endpoint, because it made all its
// grants. Only the owner changes it. A Chooser reads it and may keep its own state in
// ChooserState.
type EndpointState struct {
	ID domain.EndpointID
	// Row is the endpoint's row in the current configuration.
	Row *config.EndpointRow
	// Limit and TokenLimit are the row's limits, scaled by its weight up to 100. A
	// TokenLimit of 0 means no limit.
	Limit      int
	TokenLimit int
	// Requests counts the grants held.
	Requests int
	// ReservedTokens sums the prompt and answer estimates of the grants held, in full
	// until each ends. TokenLimit bounds it.
	ReservedTokens int
	// PromptTokens and AnswerTokens sum the estimates of the grants held, less the
	// answer tokens that their holders have reported.
	PromptTokens int
	AnswerTokens int
	// PrefillTokens is the part of PromptTokens whose holders have not yet reported an
	// answer token.
	PrefillTokens int
	// Leaving is true if the endpoint takes no new grants.
	Leaving bool
	// ChooserState belongs to the Chooser. It is initially nil and is kept as long as
	// this node owns the endpoint's pool.
	ChooserState any
}

// QueuedRequest is a request with its times on the owner's clock.
type QueuedRequest struct {
	Request *Request
	Arrived time.Time
	// FirstTokenDue is zero if the request has no first-token target.
	FirstTokenDue time.Time
	// Due is the time by which the answer must be complete.
	Due time.Time
	// Urgent is true if the request would be refused unless it is placed now. The
	// Chooser must then take the best candidate and not wait for a better one.
	Urgent bool
}

// Forecast is the time that an endpoint would need for a request, from dispatch.
type Forecast struct {
	// Prefill is how long the endpoint needs to process this prompt and those before
	// it.
	Prefill    time.Duration
	FirstToken time.Duration
	Total      time.Duration
}

// Chooser decides which endpoint serves a request. Each pool group that this node owns
// has its own Chooser, and the owner serialises the calls to it. All methods must
// return quickly, without I/O, and must not retain the slices or pointers that they are
// given, except for the strings in them.
type Chooser interface {
	// Admit refuses a request that must not be served at all, with ErrQuarantined or a
	// *Refusal that wraps it. It is called when the request arrives.
	Admit(now time.Time, request *Request) error
	// Choose returns the index of the candidate to use. All candidates serve the
	// request's pool, are not leaving and have room for the request; there is at least
	// one. ok is false if the request should wait; it is then skipped until a slot is
	// released or some time has passed.
	Choose(now time.Time, waiting *QueuedRequest, candidates []*EndpointState) (index int, ok bool)
	// Granted reports that the request now holds a slot at the endpoint, by this
	// owner's choice or, after a change of owner, by another's; in that case Blocks and
	// Session are empty.
	Granted(now time.Time, endpoint *EndpointState, request *Request)
	// Forecast estimates the request's time at the endpoint under its present load.
	// Zero values mean unknown; the owner then refuses nothing because of them.
	Forecast(now time.Time, endpoint *EndpointState, request *Request) Forecast
	// Observe reports how a grant ended. The endpoint's state no longer contains it.
	// Blocks and Session of the request are no longer known, and Name is never sent to
	// the owner. The Result is zero for a grant that ended without a report because its
	// holder is gone.
	Observe(now time.Time, endpoint *EndpointState, request *Request, result Result)
}

// ReportReceiver is a Chooser that uses what the endpoints report about themselves. The
// node that owns an endpoint reads its reports and forwards them through
// Service.Report and Service.CacheEvents.
type ReportReceiver interface {
	// Report takes an endpoint's own load report, which is already stale.
	Report(now time.Time, endpoint *EndpointState, report endpoint.LoadReport)
	// CacheEvents takes prompt-cache events, which come late and with gaps.
	CacheEvents(now time.Time, endpoint *EndpointState, events []endpoint.CacheEvent)
}
