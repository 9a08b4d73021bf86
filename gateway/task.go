package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/origin"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/routetable"
)

var (
	errTimeout    = errors.New("gateway: request deadline exceeded")
	errStalled    = errors.New("gateway: endpoint stalled, no data received in time")
	errCallerGone = errors.New("gateway: caller disconnected")

	errVersionChanged = errors.New("gateway: the endpoint's software version has changed")
)

// ErrStopped is the cause with which the node ends the contexts of the requests that are still in progress when its time to
// shut down is over. Each gets its final response: not_run if it was not dispatched, otherwise unknown.
var ErrStopped = errors.New("gateway: node stopped")

// task is one request in progress; one goroutine runs it.
type task struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived boottime.Instant
	started time.Time

	call          Call
	configVersion uint64
	route         *routetable.Route
	organisation  *routetable.Organisation
	requiresKey   bool
	timeout       time.Duration
	// waitedBefore estimates how long the caller had been waiting when it sent this attempt.
	waitedBefore time.Duration
	body         requestBody
	// contentHash identifies the request's content and key.
	contentHash uint64
	cost        float64
	charged     bool

	// forwarded is what another node told about the request that it forwards, nil if the request is a caller's own. bodyPending
	// is true until its body has been asked for; triedBefore is the number of endpoints that the other node excludes.
	forwarded   *forwardHead
	bodyPending bool
	triedBefore int
	// helpersTried are the nodes to which the request was forwarded; helperRetryAfter is what the last one said.
	helpersTried     []domain.NodeID
	helperRetryAfter time.Duration

	ctx     context.Context
	service string
	tried   []domain.EndpointID
	// mayHaveRun is true once one of the dispatches may have run.
	dispatches int
	mayHaveRun bool
	// misdirected counts the dispatches that were rejected because another endpoint or incarnation was at the
	// address.
	misdirected int
	// headSent is true once a response header was forwarded; lastEventID is the id of the last event forwarded.
	headSent    bool
	lastEventID string
	// origin is what began the stream. Once it is known the request goes to no other version.
	origin origin.Origin
	// triedAgain is true once the endpoints of the version have been tried, so that they may be a second time.
	triedAgain bool

	// The remaining fields are for the log.
	slotWait         time.Duration
	timeToFirstEvent time.Duration
	// longestGap is the longest time between two events of one endpoint.
	longestGap      time.Duration
	endpoint        domain.EndpointID
	softwareVersion string
	eventCount      int
	endpointLoad    int
	endpointLoadAge time.Duration
	// tokenTime is the estimated time of a token at the endpoint.
	tokenTime time.Duration
	// endpointLimit is the endpoint's advertised limit in requests a second over all nodes, zero if it has none.
	endpointLimit float64
	// unacknowledged is true if the endpoint's host had not acknowledged the whole request when the last attempt ended.
	unacknowledged bool
}

func newTask(g *Gateway, w http.ResponseWriter, r *http.Request) *task {
	return &task{gateway: g, writer: w, request: r, arrived: g.deps.Clock(), started: time.Now()}
}

// timeLeft is the time until the request's deadline. Time in which the host was suspended counts.
func (t *task) timeLeft() time.Duration { return t.timeout - t.gateway.deps.Clock().Sub(t.arrived) }

// run makes attempts until there is a final response.
func (t *task) run() {
	ctx, cancel := context.WithTimeoutCause(t.request.Context(), t.timeLeft(), errTimeout)
	defer cancel()
	t.ctx = ctx
	t.setWriteDeadline(time.Now().Add(max(t.timeLeft(), 0) + writeGrace))
	t.lastEventID = t.call.LastEventID
	if t.forwarded == nil { // the node that forwards it has bound and counted it
		if refused := t.bind(); refused != nil {
			t.finish(attemptResult{final: true, refusal: refused, err: refused.Cause})
			return
		}
		t.gateway.deps.RetryBudget.Request(t.service)
	}
	for tries := 0; ; tries++ {
		next := t.attempt()
		if next.final {
			t.finish(next)
			return
		}
		if tries >= maxRepeatedAttempts {
			t.finish(t.giveUp(next.err))
			return
		}
	}
}

// chooseService chooses a service by the route's split. All endpoints that the request is sent to are of the same one.
func (t *task) chooseService() string { return t.route.Service(xxhash.Sum64String(t.call.ID)) }

// maxEndpoints is the number of endpoints to which this node may send the request.
func (t *task) maxEndpoints() int {
	if t.forwarded != nil {
		return min(t.route.MaxEndpoints, t.forwarded.MaxEndpoints)
	}
	return t.route.MaxEndpoints
}

// writeGrace is the time after a request's deadline in which its caller may read the rest of the response.
const writeGrace = time.Second

// setWriteDeadline bounds writes to a caller that does not read; the zero time removes the deadline of an earlier request
// on the connection.
func (t *task) setWriteDeadline(until time.Time) {
	_ = http.NewResponseController(t.writer).SetWriteDeadline(until) // supported by net/http's server
}

// attemptResult is the result of an attempt: a final response, forwarded or generated by the node, or another attempt.
type attemptResult struct {
	final bool
	// refusal is the response generated by the node, nil if an endpoint's was forwarded.
	refusal *problem
	// abort closes the caller's connection without completing the response.
	abort  bool
	status int
	err    error
}

// attempt acquires a slot and dispatches the request once, or forwards it to another node.
func (t *task) attempt() attemptResult {
	if helper, ok := t.helper(); ok {
		return t.forward(helper)
	}
	slot, err := t.acquireSlot()
	if err != nil {
		return t.noSlot(err)
	}
	t.slotWait += slot.Waited
	if err := t.ended(); err != nil {
		slot.Release(resultNotDispatched)
		return t.noSlot(err)
	}
	refusal := t.receiveBody()
	if refusal == nil {
		refusal = t.recheckBeforeDispatch()
	}
	if refusal != nil {
		slot.Release(resultNotDispatched)
		return attemptResult{final: true, refusal: refusal, err: refusal.Cause}
	}
	err = t.gateway.deps.EndpointGate.Check(slot.Endpoint.Incarnation())
	if err == nil && t.leftVersion(slot.Endpoint.Incarnation()) {
		err = errVersionChanged
	}
	if err != nil {
		// The endpoint started to leave, left, asked for rest or changed its version while the request was queued.
		slot.Release(resultNotDispatched)
		t.logNotSent(slot.Endpoint.Incarnation(), slot.Waited, err)
		return attemptResult{err: err}
	}
	return t.dispatch(slot)
}

// ended returns why the request must not be dispatched any more: the node stops or the caller has left. The contexts end one
// after the other, and a slot that the first request releases may be granted to one whose own context has not ended yet.
func (t *task) ended() error {
	if t.gateway.stopped.Load() {
		return ErrStopped
	}
	return context.Cause(t.request.Context())
}

// callerGone reports whether the caller has disconnected.
func (t *task) callerGone() bool {
	ctx := t.request.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrStopped)
}

func (t *task) slotRequest() *places.Request {
	request := &places.Request{
		ID:           t.call.ID,
		Service:      t.service,
		RouteTier:    t.route.Tier,
		PromptTokens: t.call.PromptTokens,
		AnswerTokens: t.call.AnswerTokens(),
		EventGap:     t.route.EventGap,
		EventTokens:  t.eventTokens(),
		Fingerprint:  xxhash.Sum64String(t.call.ID),
		FirstByteDue: t.started.Add(t.route.FirstByte - t.waitedBefore),
		Due:          t.started.Add(t.timeout),
		Excluded:     t.tried,
		Version:      t.origin.Version,
		Urgent:       t.headSent || t.mayHaveRun || t.forwarded != nil && t.forwarded.MayHaveRun,
		Resumption:   t.origin.Known(),
	}
	request.Blocks, request.BlockTokens = t.call.prefixBlocks()
	if t.organisation != nil {
		request.Organisation = t.organisation.ID
	}
	request.Tier, request.SubTier = t.tiers()
	return request
}

// tiers returns the request's tier, and the one that orders it among the requests of that tier.
func (t *task) tiers() (tier, subTier domain.Tier) {
	if t.organisation != nil && t.organisation.HasTier {
		return t.organisation.Tier, t.route.Tier
	}
	return t.route.Tier, 0
}

// tierPart is the part of a bound of the node that requests of a tier may use, so that those of higher tiers are refused last.
func (t *task) tierPart() float64 {
	tier, _ := t.tiers()
	return 1 - float64(min(max(int(tier), 0), sharedTiers-1))/(2*sharedTiers)
}

// recheckBeforeDispatch repeats, immediately before a dispatch, the checks whose result may have changed while the request
// was queued or the process was suspended.
func (t *task) recheckBeforeDispatch() *problem {
	if t.timeLeft() < minDispatchTime {
		return t.timeoutProblem()
	}
	if refused := t.checkQuarantine(); refused != nil {
		return t.unknownIfMayHaveRun(refused)
	}
	if !t.requiresKey || t.mayHaveRun {
		// A request that may have run was authorised when it was dispatched and may continue.
		return nil
	}
	if t.keysStale() {
		return t.unknownIfMayHaveRun(unavailable("the keys in force are not known"))
	}
	if t.gateway.deps.Config.Table().Organisation(t.call.Key) == nil {
		return t.unknownIfMayHaveRun(&problem{Status: http.StatusUnauthorized, Title: "the key is no longer in force"})
	}
	return nil
}

// unknownIfMayHaveRun replaces p by a 502 with an unknown outcome if the request may have run.
func (t *task) unknownIfMayHaveRun(p *problem) *problem {
	if !t.mayHaveRun {
		return p
	}
	return &problem{Status: http.StatusBadGateway, Title: p.Title, Outcome: outcomeUnknown, Cause: p.Cause}
}

func (t *task) timeoutProblem() *problem {
	if t.mayHaveRun {
		return &problem{Status: http.StatusGatewayTimeout, Title: "the request's time is over", Outcome: outcomeUnknown}
	}
	return &problem{
		Status: http.StatusServiceUnavailable, Title: "no endpoint was free in time", Outcome: outcomeNotRun, RetryAfter: t.retryAfter(),
	}
}

// noSlot ends a request that got no slot.
func (t *task) noSlot(err error) attemptResult {
	var refusal *places.Refusal
	switch {
	case errors.Is(err, places.ErrNoEndpoint) && t.origin.Known() && !t.triedAgain:
		// All endpoints of the version were tried. One of them may be back.
		t.triedAgain = true
		t.tried = t.tried[:t.triedBefore]
		return attemptResult{err: err}
	case errors.Is(err, places.ErrNoVersion):
		p := notResumable("no endpoint runs the software version that began the stream")
		return attemptResult{final: true, refusal: t.unknownIfMayHaveRun(p), err: err}
	case errors.As(err, &refusal):
		p := &problem{
			Status: http.StatusServiceUnavailable, Title: "no endpoint can take the request", Outcome: outcomeNotRun,
			RetryAfter: refusal.RetryAfter,
			Cause: fmt.Errorf("%w (wait %v, ahead %d, free %d, limited %d)", refusal, refusal.Wait, refusal.Ahead, refusal.Free,
				refusal.Limited),
		}
		return attemptResult{final: true, refusal: t.unknownIfMayHaveRun(p), err: err}
	case errors.Is(err, errTimeout), errors.Is(err, ErrStopped):
		return t.giveUp(err)
	case errors.Is(err, errPartRefused):
		return t.partRefused()
	default:
		return attemptResult{final: true, err: errCallerGone, abort: true}
	}
}

// giveUp ends a request after an attempt that can't be retried.
func (t *task) giveUp(err error) attemptResult {
	r := attemptResult{final: true, err: err}
	switch {
	case errors.Is(err, errTimeout):
		r.refusal = t.timeoutProblem()
	case t.mayHaveRun:
		r.refusal = &problem{Status: http.StatusBadGateway, Title: "the endpoint's answer was lost", Outcome: outcomeUnknown, Cause: err}
	case errors.Is(err, ErrStopped):
		r.refusal = &problem{
			Status: http.StatusServiceUnavailable, Title: "the node stopped before the request was dispatched", Outcome: outcomeNotRun,
			RetryAfter: shortRetryAfter,
		}
	default:
		r.refusal = &problem{
			Status: http.StatusServiceUnavailable, Title: "no endpoint took the request", Outcome: outcomeNotRun,
			RetryAfter: t.retryAfter(), Cause: err,
		}
	}
	return r
}

// retryAfter is the Retry-After of a request that no endpoint took: some time after the endpoints' rest if all of them rest, zero if no
// endpoint of the version is left to which the request is bound.
func (t *task) retryAfter() time.Duration {
	if t.origin.Known() && !t.gateway.deps.Places.Serves(t.service, t.origin.Version) {
		return 0
	}
	return max(places.AfterRest(t.gateway.deps.Places.RestEndsIn(t.service)), t.helperRetryAfter, shortRetryAfter)
}

// finish logs the end and responds to the caller, unless an endpoint's response was forwarded.
func (t *task) finish(r attemptResult) {
	if t.charged && !t.mayHaveRun {
		t.gateway.deps.OrganisationLimits.Refund(t.organisation, t.cost)
	}
	if t.headSent && r.refusal != nil {
		// The node's response can't follow part of an endpoint's: the caller would take the two for one complete response.
		r.abort = true
	}
	t.logEnd(r)
	switch {
	case r.abort:
		// net/http closes the connection without ending the response.
		panic(http.ErrAbortHandler)
	case r.refusal != nil:
		t.respond(r.refusal)
	}
}

// refuse responds to a request that was not admitted.
func (t *task) refuse(p *problem) {
	t.releaseBody()
	t.logEnd(attemptResult{refusal: p, err: p.Cause})
	t.setWriteDeadline(time.Now().Add(writeGrace))
	t.respond(p)
}

// respond sends the node's own response.
func (t *task) respond(p *problem) {
	if t.forwarded != nil {
		t.addForwardResult(p)
	}
	t.settleBody()
	p.write(t.writer)
}
