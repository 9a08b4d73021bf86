package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/brittle"
	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/routetable"
)

// resultNotDispatched is reported for a slot that was released without a dispatch.
var resultNotDispatched = capacity.Result{}

// attempt is one dispatch of a request to an endpoint and its progress.
type attempt struct {
	task *task
	slot slot
	// endpoint is the endpoint, nil if the request is forwarded to the node helper.
	endpoint *directory.Endpoint
	helper   domain.NodeID
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// stopWatch ends the watch of the prompt; see watchPrompt. It is nil in an attempt by way of another node.
	stopWatch func()
	// stallTimer cancels the attempt when the endpoint has sent nothing for too long; nil if the request can't be retried.
	stallTimer       *time.Timer
	started          time.Time
	timeToFirstEvent time.Duration
	eventCount       int
	lastEventAt      time.Time
	// head is the decoded head of the last response received.
	head AnswerHead
	// answerBytes is what the buffered part of the response holds.
	answerBytes bytebudget.Reservation
}

// slot is the capacity that an attempt uses.
type slot interface {
	RecordFirstEvent()
	RecordTokens(tokens int)
	// Release returns the capacity. Only the first call has an effect.
	Release(result capacity.Result)
}

// receiver is what the attempt's request is sent to, for the log.
func (a *attempt) receiver() domain.EndpointID {
	if a.endpoint == nil {
		return domain.EndpointID(a.helper)
	}
	return a.endpoint.Incarnation()
}

// heard records that the service's endpoints can be reached, unless it was another node that was heard.
func (a *attempt) heard() {
	if r := a.task.gateway.deps.Reach; r != nil && a.endpoint != nil {
		r.Heard(a.task.service)
	}
}

// notReached records that the endpoint could not be reached.
func (a *attempt) notReached() {
	if r := a.task.gateway.deps.Reach; r != nil && a.endpoint != nil {
		r.NotReached(a.task.service)
	}
}

// dispatch sends the request to the slot's endpoint and forwards the response.
func (t *task) dispatch(slot *places.Place) attemptResult {
	if t.dispatches > 0 && !t.gateway.deps.RetryBudget.Retry(t.service) {
		slot.Release(resultNotDispatched)
		return t.giveUp(errRetryBudgetExhausted)
	}
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	a := &attempt{task: t, slot: slot, endpoint: slot.Endpoint, ctx: ctx, cancel: cancel, started: time.Now(), answerBytes: t.gateway.reserveAnswer()}
	defer a.answerBytes.Release()
	if r := t.gateway.deps.Reach; r != nil {
		defer r.Begin(t.service)()
	}
	a.startStallTimer()
	defer a.stopStallTimer()
	a.stopWatch = t.watchPrompt(cancel)
	defer a.unwatch()
	t.unacknowledged = false
	t.endpoint, t.endpointLoad, t.tokenTime = slot.Endpoint.Incarnation(), slot.Load, slot.TokenTime
	t.endpointLimit, t.softwareVersion = slot.Limit, slot.Endpoint.Version
	if !slot.ReportedAt.IsZero() {
		t.endpointLoadAge = time.Since(slot.ReportedAt)
	}
	t.tried = append(t.tried, slot.Endpoint.Incarnation())
	sent := t.gateway.deps.Clock()
	response, err := t.gateway.deps.EndpointClient.Send(ctx, a.exchangeRequest())
	if err != nil {
		return a.sendFailed(err)
	}
	defer response.Close()
	t.dispatches++
	head := a.head
	a.recordAdvertisedLimit(response.StatusCode, head, sent)
	a.recordBrittleness(response.StatusCode, head, sent)
	if head.NotRun {
		return a.requestRejected(response.StatusCode)
	}
	t.mayHaveRun = true
	return a.forwardResponse(response)
}

// forwardResponse forwards an endpoint's response to the caller, whether it came from the endpoint or through another node.
func (a *attempt) forwardResponse(response *exchange.Response) attemptResult {
	t := a.task
	switch streamed := t.route.Kind == routetable.Stream && response.StatusCode == http.StatusOK; {
	case streamed && a.head.Signed:
		return a.forwardStream(response)
	case streamed:
		return a.responseLost(errUnsigned)
	case t.headSent:
		// Part of a stream was already forwarded; only further events can follow it.
		return a.responseLost(errEndpointFailed)
	default:
		return a.forwardWhole(response, a.head)
	}
}

// recordAdvertisedLimit records the limit in the response's header. A 421 comes from another endpoint at the same address
// and says nothing about this one. A response without a limit ends a known limit only if the endpoint signed it and it is
// no failure.
func (a *attempt) recordAdvertisedLimit(status int, head AnswerHead, sent boottime.Instant) {
	foreign := status == http.StatusMisdirectedRequest
	served := head.Signed && !head.NotRun && status < http.StatusInternalServerError
	if foreign || head.Limit.Kind == endpointlimit.None && !served {
		return
	}
	a.task.gateway.deps.EndpointLimits.RecordAdvertisement(a.endpoint.Incarnation(), sent, head.Limit)
}

// recordBrittleness records what the endpoint says about rejecting requests, in every answer of its own.
func (a *attempt) recordBrittleness(status int, head AnswerHead, sent boottime.Instant) {
	tracker := a.task.gateway.deps.Brittle
	own := status != http.StatusMisdirectedRequest && (head.Signed || head.NotRun)
	if tracker != nil && (own || head.Brittle.Kind != brittle.None) {
		tracker.Record(a.task.service, a.endpoint.Version, sent, head.Brittle)
	}
}

// errRetryBudgetExhausted means that the service's share of retried requests has reached its bound.
var errRetryBudgetExhausted = errors.New("gateway: the budget of retries is used up")

func (a *attempt) exchangeRequest() *exchange.Request {
	t := a.task
	head := endToEndHeader(t.request.Header)
	dispatch := Dispatch{Endpoint: a.endpoint.ID, TimeLeft: t.timeLeft(), LastEventID: t.lastEventID}
	if t.organisation != nil {
		dispatch.Organisation = t.organisation.ID
	}
	t.gateway.deps.Protocol.WriteDispatch(head, dispatch)
	return &exchange.Request{
		Endpoint: a.endpoint.Incarnation(),
		Address:  a.endpoint.Address,
		Method:   t.request.Method,
		Target:   t.request.RequestURI,
		Host:     t.request.Host,
		Header:   head,
		Body:     t.body.data,
		Permit:   func() error { return t.gateway.deps.EndpointGate.Check(a.endpoint.Incarnation()) },
		Matches:  a.readHead,
	}
}

// readHead decodes the head of a response, records what the endpoint says in it and reports whether it belongs to the request.
// A 421 comes from another endpoint at the same address and says nothing about this one.
func (a *attempt) readHead(status int, header http.Header) bool {
	t := a.task
	a.heard()
	a.head = t.gateway.deps.Protocol.ReadAnswer(status, header)
	if status != http.StatusMisdirectedRequest {
		t.gateway.deps.EndpointGate.Record(a.endpoint, t.call.ID, a.head.Notice)
		t.gateway.deps.CrashParts.Answered(a.endpoint.Incarnation(), a.started)
	}
	return a.head.ID == "" || a.head.ID == t.call.ID
}

// canRetry reports whether the request may go to another endpoint after an attempt that may have run.
func (t *task) canRetry() bool {
	return t.route.Repeatable() && t.endpointsTried() < t.maxEndpoints() && t.mayContinue()
}

// endpointsTried is the number of dispatches that reached the intended endpoint. One that reached a later incarnation does
// not count, since it can't have run the request. When these did count, they caused one in three refusals on routes that
// allow a single endpoint, on days with endpoint restarts.
func (t *task) endpointsTried() int { return t.dispatches - t.misdirected }

// startStallTimer bounds the wait for the first byte, if the request can be retried on another endpoint.
func (a *attempt) startStallTimer() {
	t := a.task
	if !t.route.Repeatable() || t.endpointsTried()+1 >= t.maxEndpoints() {
		return
	}
	a.stallTimer = time.AfterFunc(t.firstByteTimeout(), func() { a.cancel(errStalled) })
}

// firstByteTimeout is how long the endpoint may take to send its first byte.
func (t *task) firstByteTimeout() time.Duration {
	if t.route.Kind != routetable.Stream {
		return max(stallFactor*t.route.FirstByte, minIdempotentStallTimeout)
	}
	return max(stallFactor*t.route.FirstByte, minStallTimeout)
}

func (a *attempt) stopStallTimer() {
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
}

// recordEvent updates timings, the stall timer and the slot's progress for an event received.
func (a *attempt) recordEvent() {
	now := time.Now()
	a.heard()
	if a.eventCount > 0 {
		a.task.longestGap = max(a.task.longestGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	if a.eventCount == 0 {
		a.unwatch()
		a.timeToFirstEvent = now.Sub(a.started)
		a.slot.RecordFirstEvent()
		if a.task.timeToFirstEvent == 0 {
			a.task.timeToFirstEvent = now.Sub(a.task.started)
		}
	}
	a.eventCount++
	a.recordProgress()
	if a.stallTimer != nil {
		a.stallTimer.Reset(max(stallFactor*a.task.route.EventGap, minStallTimeout))
	}
	if a.eventCount%progressEventInterval == 0 {
		a.slot.RecordTokens(progressEventInterval * a.task.eventTokens())
	}
}

// eventTokens is the number of tokens in an event of the service.
func (t *task) eventTokens() int {
	return max(t.gateway.deps.Config.Table().Services[t.service].EventTokens, 1)
}

// cause returns the reason if this node cancelled the attempt, otherwise err.
func (a *attempt) cause(err error) error {
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	return err
}

// release releases the slot and reports the attempt's result.
func (a *attempt) release(result capacity.Result) {
	result.Dispatched = true
	result.FirstToken = a.timeToFirstEvent
	result.Total = time.Since(a.started)
	result.AnswerTokens = a.eventCount * a.task.eventTokens()
	a.slot.Release(result)
}

// sendFailed ends an attempt that got no response.
func (a *attempt) sendFailed(err error) attemptResult {
	t := a.task
	if errors.Is(err, endpointgate.ErrClosed) {
		a.slot.Release(resultNotDispatched)
		t.logNotSent(a.endpoint.Incarnation(), time.Since(a.started), err)
		return attemptResult{err: err}
	}
	if errors.Is(err, endpoint.ErrNotDispatched) {
		if a.ctx.Err() == nil {
			a.notReached()
			a.slot.Release(capacity.Result{Unreachable: true, NotReached: true})
		} else {
			a.slot.Release(resultNotDispatched)
		}
		return a.retry(err, true)
	}
	t.dispatches++
	t.mayHaveRun = true
	t.unacknowledged = errors.Is(err, endpoint.ErrUnacknowledged)
	return a.responseLost(err)
}

// responseLost ends an attempt that may have run but whose response is lost or unusable.
func (a *attempt) responseLost(err error) attemptResult {
	t := a.task
	cause := a.cause(err)
	blamed := a.blamesEndpoint(cause)
	noSign := blamed && a.noSign(cause)
	if noSign {
		a.notReached()
	}
	a.release(capacity.Result{Unreachable: blamed, NotReached: noSign})
	if blamed {
		a.recordBreak(cause)
	}
	if t.callerGone() {
		return attemptResult{final: true, abort: true, err: errCallerGone}
	}
	if errors.Is(cause, errTimeout) || errors.Is(cause, ErrStopped) {
		return t.giveUp(cause)
	}
	if !t.canRetry() {
		return t.giveUp(cause)
	}
	return a.retry(cause, false)
}

// blamesEndpoint reports whether the endpoint caused the error, rather than the request's deadline, its caller or this node.
func (a *attempt) blamesEndpoint(cause error) bool {
	return !errors.Is(cause, errTimeout) && !errors.Is(cause, errPartRefused) && !errors.Is(cause, bytebudget.ErrNoRoom) && a.task.request.Context().Err() == nil
}

// noSign reports whether the error leaves open that the endpoint is sound and only its link is not.
func (a *attempt) noSign(cause error) bool {
	return a.task.unacknowledged || errors.Is(cause, endpoint.ErrBroken) || errors.Is(cause, errStalled)
}

// linkSilent reports whether the connection ended because nothing came from the other side: that is no sign that the request made
// the endpoint fail.
func linkSilent(cause error) bool {
	return errors.Is(cause, endpoint.ErrUnacknowledged) || errors.Is(cause, syscall.ETIMEDOUT)
}

// requestRejected ends an attempt that the endpoint promised not to run.
func (a *attempt) requestRejected(status int) attemptResult {
	t := a.task
	replaced := status == http.StatusMisdirectedRequest
	if !replaced {
		t.gateway.deps.EndpointGate.RecordRejection(a.endpoint, t.call.ID)
	}
	a.slot.Release(capacity.Result{Unreachable: !replaced, Replaced: replaced})
	err := fmt.Errorf("%w: status %d", endpoint.ErrRefused, status)
	if replaced {
		// Another endpoint now answers at the address; the intended one has not seen the request.
		t.gateway.deps.CrashParts.Replaced(a.endpoint.Incarnation())
		t.misdirected++
	}
	if t.endpointsTried() >= t.maxEndpoints() {
		return t.giveUp(err)
	}
	return a.retry(err, false)
}

// retry logs the failure and requests another attempt, unless the deadline has passed or the caller has disconnected.
func (a *attempt) retry(err error, notSent bool) attemptResult {
	t := a.task
	if t.callerGone() {
		return attemptResult{final: true, abort: true, err: errCallerGone}
	}
	if t.ctx.Err() != nil {
		return t.giveUp(context.Cause(t.ctx))
	}
	if errors.Is(context.Cause(a.ctx), errPartRefused) {
		return t.partRefused()
	}
	t.gateway.metrics.retries.Inc()
	t.gateway.deps.Log.Info().Str("request", t.call.ID).Str("endpoint", string(a.receiver())).
		Str("software_version", t.softwareVersion).Bool("not_sent", notSent).Bool("unacknowledged", t.unacknowledged).Dur("after_ms", time.Since(a.started)).
		Int("sends", t.dispatches).Dur("rest_asked_ms", a.head.Notice.Rest).Str("last_event", t.lastEventID).Strs("prompt_parts", t.call.partNames()).
		Int("events", a.eventCount).AnErr("cause", err).Msg("attempt failed, trying another endpoint")
	return attemptResult{err: err}
}
