package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// EndpointState is what an owner knows exactly of an endpoint, because it
// granted it. Only the owner changes it; a Chooser reads it and may keep its own
// state in Learned.
type EndpointState struct {
	ID domain.EndpointID
	// Row is the endpoint's row in the configuration in force.
	Row *config.EndpointRow
	// Limit and TokenLimit are the row's, scaled by its weight up to 100; a
	// TokenLimit of 0 is none.
	Limit      int
	TokenLimit int
	// Requests counts grants held.
	Requests int
	// ReservedTokens sums prompt and answer estimates of the grants held, in full
	// until they end; TokenLimit bounds it.
	ReservedTokens int
	// PromptTokens and AnswerTokens sum the estimates of the grants held, less the
	// answer tokens that their holders reported.
	PromptTokens int
	AnswerTokens int
	// PrefillTokens is the part of PromptTokens whose holders have not reported an
	// answer token yet.
	PrefillTokens int
	// Leaving is true if the endpoint takes no new grants.
	Leaving bool
	// Learned belongs to the Chooser. It is nil at first, and lives as long as this
	// node owns the endpoint's pool.
	ChooserState any
}

// QueuedRequest is an ask with its instants on the owner's clock.
type QueuedRequest struct {
	Request *Request
	Arrived time.Time
	// FirstTokenDue is zero if there is no aim for the first token.
	FirstTokenDue time.Time
	// Due is the instant at which the answer must be complete.
	Due time.Time
	// Pressing is true if the ask would be refused if it is not placed now: the
	// Chooser must then take the best candidate and not wait for a better one.
	Urgent bool
}

// Forecast is the time that an endpoint would need for an ask, from dispatch.
type Forecast struct {
	// Reading is how long the endpoint needs to read this prompt and those before it.
	Prefill    time.Duration
	FirstToken time.Duration
	Total      time.Duration
}

// Chooser decides which endpoint serves an ask. Each pool group that this node
// owns has a Chooser of its own, and the owner makes its calls one at a time.
// All methods must return quickly, without I/O, and must not keep the slices or
// pointers that they are given, but for the strings in them.
type Chooser interface {
	// Admit refuses an ask that must not be served at all, with ErrQuarantined or a
	// *Refusal of it. It is called when the ask arrives.
	Admit(now time.Time, ask *Request) error
	// Choose returns the index of the candidate to use. All candidates serve the
	// ask's pool, are not leaving and have room for the ask; there is at least one.
	// ok is false if the ask had better wait; it is then passed over until a place
	// is freed or some time has gone by.
	Choose(now time.Time, waiting *QueuedRequest, candidates []*EndpointState) (index int, ok bool)
	// Granted tells that the ask now holds a place at the endpoint, by this owner's
	// choice or, after a change of owner, by another's; then without Blocks and
	// Session.
	Granted(now time.Time, endpoint *EndpointState, ask *Request)
	// Forecast estimates the ask's time at the endpoint as it is loaded now. Zero
	// values mean that nothing is known; the owner then refuses nothing for them.
	Forecast(now time.Time, endpoint *EndpointState, ask *Request) Forecast
	// Observe tells how a grant ended. The endpoint's state no longer contains it.
	// Blocks and Session of the ask are not known any more, and Name is never sent
	// to the owner. A grant that ended without its holder's word, because that is
	// gone, has the zero Result.
	Observe(now time.Time, endpoint *EndpointState, ask *Request, result Result)
}

// ReportReceiver is a Chooser that uses what the endpoints say of themselves. The node
// that owns an endpoint reads its reports and hands them on by Service.Report and
// Service.CacheEvents.
type ReportReceiver interface {
	// Report takes an endpoint's own account of its load, already stale.
	Report(now time.Time, endpoint *EndpointState, report endpoint.LoadReport)
	// CacheEvents takes prompt-cache events, late and with gaps.
	CacheEvents(now time.Time, endpoint *EndpointState, events []endpoint.CacheEvent)
}
