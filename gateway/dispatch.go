package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/routetable"
)

// notUsed is the result of a place that was given back without a send.
var notUsed = capacity.Result{}

// dispatched is one send and what became of it.
type dispatched struct {
	task   *task
	place  *places.Place
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stall ends the send when the endpoint has been silent for too long; nil if the request can't be repeated.
	stall   *time.Timer
	started time.Time
	first   time.Duration
	events  int
	// last is when the last event came.
	last time.Time
}

// dispatch sends the request to the place's endpoint and passes the answer on.
func (t *task) dispatch(place *places.Place) step {
	if t.sends > 0 && !t.gateway.parts.RetryBudget.Retry(t.service) {
		place.Release(notUsed)
		return t.giveUp(errNoBudget)
	}
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	d := &dispatched{task: t, place: place, ctx: ctx, cancel: cancel, started: time.Now()}
	d.watch()
	defer d.unwatch()
	t.unacknowledged = false
	t.endpoint, t.load, t.tokenTime = place.Endpoint.Incarnation(), place.Load, place.TokenTime
	t.endpointLimit = place.Limit
	if !place.Reported.IsZero() {
		t.loadAge = time.Since(place.Reported)
	}
	t.tried = append(t.tried, place.Endpoint.Incarnation())
	sent := t.gateway.parts.Clock()
	answer, err := t.gateway.parts.EndpointClient.Send(ctx, t.exchangeRequest(place))
	if err != nil {
		return d.failed(err)
	}
	defer answer.Close()
	t.sends++
	head := t.gateway.parts.Protocol.ReadAnswer(answer.StatusCode, answer.Header)
	d.takeLimit(answer.StatusCode, head, sent)
	if head.NotRun {
		return d.rejected(answer.StatusCode)
	}
	t.mayHaveRun = true
	switch streamed := t.route.Kind == routetable.Stream && answer.StatusCode == http.StatusOK; {
	case streamed && head.Signed:
		return d.passStream(answer)
	case streamed:
		return d.broken(errUnsigned)
	case t.headSent:
		// Nothing but events can go on from those passed on.
		return d.broken(errEndpointFailed)
	default:
		return d.passWhole(answer, head)
	}
}

// takeLimit takes what the endpoint says of its limit. What answers in place of an endpoint that is gone says nothing of it.
// Only an answer that the endpoint has signed and that is no failure ends a limit by naming none.
func (d *dispatched) takeLimit(status int, head AnswerHead, sent boottime.Instant) {
	foreign := status == http.StatusMisdirectedRequest
	served := head.Signed && !head.NotRun && status < http.StatusInternalServerError
	if foreign || head.Limit.Kind == endpointlimit.None && !served {
		return
	}
	d.task.gateway.parts.EndpointLimits.RecordAdvertisement(d.place.Endpoint.Incarnation(), sent, head.Limit)
}

// errNoBudget means that too many requests have been sent twice already.
var errNoBudget = errors.New("gateway: the budget of retries is used up")

func (t *task) exchangeRequest(place *places.Place) *exchange.Request {
	head := endToEnd(t.request.Header)
	dispatch := Dispatch{Endpoint: place.Endpoint.ID, TimeLeft: t.left(), LastEventID: t.lastEvent}
	if t.organisation != nil {
		dispatch.Organisation = t.organisation.ID
	}
	protocol := t.gateway.parts.Protocol
	protocol.WriteDispatch(head, dispatch)
	return &exchange.Request{
		Endpoint: place.Endpoint.Incarnation(),
		Address:  place.Endpoint.Address,
		Method:   t.request.Method,
		Target:   t.request.RequestURI,
		Host:     t.request.Host,
		Header:   head,
		Body:     t.body,
		Answers: func(h http.Header) bool {
			id := protocol.ReadAnswer(http.StatusOK, h).ID
			return id == "" || id == t.call.ID
		},
	}
}

// canRepeat reports whether the request may go to another endpoint after a send that may have run.
func (t *task) canRepeat() bool { return t.route.Repeatable() && t.offers() < t.route.MaxEndpoints }

// offers is the number of endpoints that the request has been sent to and that it was meant for. One that has been
// replaced by another life does not count: it can't have run the request. On days on which endpoints restart that was
// one refusal in three of routes that allow a single endpoint.
func (t *task) offers() int { return t.sends - t.misdirected }

// watch ends the send after a silence, if the request can go on elsewhere.
func (d *dispatched) watch() {
	t := d.task
	if !t.route.Repeatable() || t.offers()+1 >= t.route.MaxEndpoints {
		return
	}
	d.stall = time.AfterFunc(t.silenceAllowed(), func() { d.cancel(errStalled) })
}

// silenceAllowed is how long the endpoint may be silent.
func (t *task) silenceAllowed() time.Duration {
	if t.route.Kind != routetable.Stream {
		return max(stallFactor*t.route.FirstByte, leastTryAgain)
	}
	return max(stallFactor*t.route.FirstByte, leastStall)
}

func (d *dispatched) unwatch() {
	if d.stall != nil {
		d.stall.Stop()
	}
}

// heard notes an event.
func (d *dispatched) heard() {
	now := time.Now()
	if d.events > 0 {
		d.task.gap = max(d.task.gap, now.Sub(d.last))
	}
	d.last = now
	if d.events == 0 {
		d.first = now.Sub(d.started)
		d.place.FirstEvent()
		if d.task.first == 0 {
			d.task.first = now.Sub(d.task.started)
		}
	}
	d.events++
	if d.stall != nil {
		d.stall.Reset(max(stallFactor*d.task.route.EventGap, leastStall))
	}
	if d.events%progressEvents == 0 {
		d.place.Produced(progressEvents * d.task.eventTokens())
	}
}

// eventTokens is how many tokens an event holds.
func (t *task) eventTokens() int {
	return max(t.gateway.parts.Config.Table().Services[t.service].EventTokens, 1)
}

// cause is why the send ended, if this node ended it, else the error itself.
func (d *dispatched) cause(err error) error {
	if d.ctx.Err() != nil {
		return context.Cause(d.ctx)
	}
	return err
}

// release gives the place back.
func (d *dispatched) release(result capacity.Result) {
	result.Dispatched = true
	result.FirstToken = d.first
	result.Total = time.Since(d.started)
	result.AnswerTokens = d.events * d.task.eventTokens()
	d.place.Release(result)
}

// failed is the end of a send without an answer.
func (d *dispatched) failed(err error) step {
	t := d.task
	if errors.Is(err, endpoint.ErrNotDispatched) {
		if d.ctx.Err() == nil {
			d.place.Release(capacity.Result{Unreachable: true})
		} else {
			d.place.Release(notUsed)
		}
		return d.again(err, true)
	}
	t.sends++
	t.mayHaveRun = true
	t.unacknowledged = errors.Is(err, endpoint.ErrUnacknowledged)
	return d.broken(err)
}

// broken is the end of a send that may have run.
func (d *dispatched) broken(err error) step {
	t := d.task
	cause := d.cause(err)
	d.release(capacity.Result{Unreachable: d.blames(cause)})
	if d.blames(cause) && errors.Is(cause, endpoint.ErrBroken) {
		t.gateway.parts.Quarantine.Broke(d.place.Endpoint.Incarnation(), t.content)
	}
	if t.request.Context().Err() != nil {
		return step{done: true, abort: true, err: errCallerGone}
	}
	if errors.Is(cause, errTimeout) {
		return t.giveUp(cause)
	}
	if !t.canRepeat() {
		return t.giveUp(cause)
	}
	return d.again(cause, false)
}

// blames reports whether the endpoint is to blame for the error.
func (d *dispatched) blames(cause error) bool {
	return !errors.Is(cause, errTimeout) && d.task.request.Context().Err() == nil
}

// rejected is the end of a send that the endpoint promised not to run.
func (d *dispatched) rejected(status int) step {
	t := d.task
	replaced := status == http.StatusMisdirectedRequest
	d.place.Release(capacity.Result{Unreachable: !replaced, Replaced: replaced})
	err := fmt.Errorf("%w: status %d", endpoint.ErrRefused, status)
	if replaced {
		// The endpoint that it was meant for has not seen it, and another is there in its place.
		t.misdirected++
	}
	if t.offers() >= t.route.MaxEndpoints {
		return t.giveUp(err)
	}
	return d.again(err, false)
}

// again logs why another attempt is made.
func (d *dispatched) again(err error, notSent bool) step {
	t := d.task
	if t.ctx.Err() != nil {
		if t.request.Context().Err() != nil {
			return step{done: true, abort: true, err: errCallerGone}
		}
		return t.giveUp(errTimeout)
	}
	t.gateway.metrics.retries.Inc()
	t.gateway.parts.Log.Info().Str("request", t.call.ID).Str("endpoint", string(d.place.Endpoint.Incarnation())).
		Bool("not_sent", notSent).Bool("unacknowledged", t.unacknowledged).Dur("after_ms", time.Since(d.started)).
		Int("sends", t.sends).Str("last_event", t.lastEvent).AnErr("cause", err).
		Msg("attempt failed, trying another endpoint")
	return step{err: err}
}
