package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/reach"
)

// Forwarding. A node that reaches none of a service's endpoints sends the request to another node, which does. That node chooses
// the endpoint, by its own gate, limits, queue and tiers; it forwards to no further node. It asks for the body only once it has a
// slot, and dispatches nothing before it has the whole body: until then the request has certainly not run, and the first node
// may use another way. From then on it is like a request that was sent to an endpoint.

const (
	// maxForwards is the number of nodes to which a request is forwarded at most.
	maxForwards = 3
	// handshakeTimeout limits the time that a request may wait at another node for a slot.
	handshakeTimeout = 2 * time.Second
)

var (
	errForwardRefused = errors.New("gateway: the other node refused the request")
	errForwardUnknown = errors.New("gateway: the other node lost the endpoint's answer")
)

// helper returns a node to which the request should be forwarded, false if it should be sent to an endpoint.
func (t *task) helper() (reach.Helper, bool) {
	r := t.gateway.deps.Reach
	if r == nil || t.forwarded != nil || len(t.helpersTried) >= maxForwards {
		return reach.Helper{}, false
	}
	return r.Helper(t.service, t.helpersTried)
}

// forward forwards the request to another node and the response to the caller.
func (t *task) forward(helper reach.Helper) attemptResult {
	t.helpersTried = append(t.helpersTried, helper.Node)
	if err := t.ended(); err != nil {
		return t.noSlot(err)
	}
	if refusal := t.recheckBeforeDispatch(); refusal != nil {
		return attemptResult{final: true, refusal: refusal}
	}
	if t.dispatches > 0 && !t.gateway.deps.RetryBudget.Retry(t.service) {
		return t.giveUp(errRetryBudgetExhausted)
	}
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	slot := &forwardSlot{end: t.gateway.deps.Reach.BeginForward(helper.Node)}
	defer slot.Release(resultNotDispatched)
	a := &attempt{task: t, slot: slot, helper: helper.Node, ctx: ctx, cancel: cancel, started: time.Now(), answerBytes: t.gateway.reserveAnswer()}
	defer a.answerBytes.Release()
	t.endpoint, t.softwareVersion, t.unacknowledged = a.receiver(), "", false
	head := t.newForwardHead()
	t.gateway.deps.Log.Info().Str("request", t.call.ID).Str("to", string(helper.Node)).Str("service", t.service).
		Int("sends", t.dispatches).Int("endpoints_left", head.MaxEndpoints).Str("last_event", t.lastEventID).Msg("forwarding to another node")
	request := t.forwardRequest(helper, head)
	request.Committed = a.startStallTimer // before that the request waits for a slot
	defer a.stopStallTimer()
	response, err := t.gateway.deps.PeerClient.Send(ctx, request)
	if err != nil {
		return a.forwardFailed(err, head)
	}
	defer response.Close()
	if response.Header.Get(fieldForwardResult) != "" {
		return a.forwardRefused(response)
	}
	t.gateway.metrics.forwarded.Inc()
	t.dispatches += head.MaxEndpoints
	t.mayHaveRun = true
	a.head = t.gateway.deps.Protocol.ReadAnswer(response.StatusCode, response.Header)
	a.recordForwardedNotice(response.Header.Get(fieldAnsweredBy))
	return a.forwardResponse(response)
}

// recordForwardedNotice records that the endpoint of a forwarded response is leaving: this node may reach it later. A rest binds
// only the node that it was told to.
func (a *attempt) recordForwardedNotice(incarnation string) {
	t := a.task
	if !a.head.Notice.Leaving {
		return
	}
	if e := t.gateway.deps.Directory.Current().Endpoint(domain.EndpointID(incarnation)); e != nil {
		t.gateway.deps.EndpointGate.Record(e, t.call.ID, endpointgate.Notice{Leaving: true})
	}
}

// newForwardHead returns what the other node needs to know. It leaves an endpoint for an attempt of this node's own, if there is
// one left, since a node that vanishes does not tell how many it has used.
func (t *task) newForwardHead() forwardHead {
	left := max(t.maxEndpoints()-t.endpointsTried(), 1)
	return forwardHead{
		From: t.gateway.options.Node, TimeLeft: t.timeLeft(), WaitedBefore: t.waitedBefore + time.Since(t.started),
		LastEventID: t.lastEventID, Tried: t.tried, MaxEndpoints: max(left-1, 1), MayHaveRun: t.mayHaveRun,
		Origin: t.origin,
	}
}

func (t *task) forwardRequest(helper reach.Helper, head forwardHead) *exchange.Request {
	header := endToEndHeader(t.request.Header)
	field := fieldForward
	if head.Origin.Known() {
		field = fieldForwardResumption
	}
	setField(header, field, head)
	return &exchange.Request{
		Endpoint: domain.EndpointID(helper.Node), Address: helper.Address, Method: t.request.Method, Target: t.request.RequestURI,
		Host: t.request.Host, Header: header, Body: t.body.data, Handshake: min(handshakeTimeout, max(head.TimeLeft, 1)),
	}
}

// forwardFailed ends a forward that got no response.
func (a *attempt) forwardFailed(err error, head forwardHead) attemptResult {
	t := a.task
	a.slot.Release(capacity.Result{NotReached: a.ctx.Err() == nil || errors.Is(context.Cause(a.ctx), errStalled)})
	if errors.Is(err, endpoint.ErrNotDispatched) {
		return a.retry(err, true)
	}
	t.dispatches += head.MaxEndpoints
	t.mayHaveRun = true
	t.unacknowledged = errors.Is(err, endpoint.ErrUnacknowledged)
	return a.responseLost(err)
}

// forwardRefused ends a forward to which the other node responded itself.
func (a *attempt) forwardRefused(response *exchange.Response) attemptResult {
	t := a.task
	var result forwardResult
	if err := readField(response.Header, fieldForwardResult, &result); err != nil {
		t.mayHaveRun = true
		t.dispatches++
		return a.responseLost(err)
	}
	t.dispatches += result.Dispatches
	t.tried = append(t.tried, result.Tried...)
	if result.Outcome != outcomeNotRun {
		t.mayHaveRun = true
		return a.responseLost(fmt.Errorf("%w: status %d", errForwardUnknown, response.StatusCode))
	}
	t.helperRetryAfter = result.RetryAfter
	err := fmt.Errorf("%w: status %d", errForwardRefused, response.StatusCode)
	if t.endpointsTried() >= t.maxEndpoints() || len(t.helpersTried) >= maxForwards {
		return t.giveUp(err)
	}
	return a.retry(err, true)
}

// forwardSlot takes the place of an endpoint's slot in an attempt by way of another node, which accounts for the endpoint.
type forwardSlot struct {
	end func(failed bool)
}

// RecordFirstEvent implements slot.
func (s *forwardSlot) RecordFirstEvent() {}

// RecordTokens implements slot.
func (s *forwardSlot) RecordTokens(int) {}

// Release implements slot.
func (s *forwardSlot) Release(result capacity.Result) {
	if s.end != nil {
		s.end(result.NotReached)
		s.end = nil
	}
}
