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
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/routetable"
)

var (
	errTimeout    = errors.New("gateway: the request's time is over")
	errStalled    = errors.New("gateway: the endpoint does not answer")
	errCallerGone = errors.New("gateway: the caller is gone")
)

// task is one request in progress, run by one goroutine.
type task struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived boottime.Instant
	started time.Time

	call         Call
	version      uint64
	route        *routetable.Route
	organisation *routetable.Organisation
	keyed        bool
	allowed      time.Duration
	// waitedBefore is how long the caller has probably been waiting when it sent this attempt.
	waitedBefore time.Duration
	body         []byte
	// content identifies what is asked and by whom.
	content uint64
	cost    float64
	counted bool

	ctx     context.Context
	service string
	tried   []domain.EndpointID
	// sends counts dispatches, mayHaveRun is true once one of them may have run.
	sends      int
	mayHaveRun bool
	// misdirected counts the dispatches that another life of the endpoint turned away.
	misdirected int
	// headSent is true once the head of an answer was passed on, lastEvent is the last event's id.
	headSent  bool
	lastEvent string

	// For the log.
	waited time.Duration
	first  time.Duration
	// gap is the longest pause between two events of one endpoint.
	gap      time.Duration
	endpoint domain.EndpointID
	events   int
	load     int
	loadAge  time.Duration
	// tokenTime is what the endpoint was thought to take for a token.
	tokenTime time.Duration
	// endpointLimit is the requests a second that the endpoint took from all nodes together, zero if it had named none.
	endpointLimit float64
	// unacknowledged is true if the endpoint's host had not acknowledged the whole request when the last send ended.
	unacknowledged bool
}

func newTask(g *Gateway, w http.ResponseWriter, r *http.Request) *task {
	return &task{gateway: g, writer: w, request: r, arrived: g.parts.Clock(), started: time.Now()}
}

func (t *task) close() { t.gateway.bodies.Add(-int64(len(t.body))) }

// left is what is left of the request's time, suspensions of the machine counted.
func (t *task) left() time.Duration { return t.allowed - t.gateway.parts.Clock().Sub(t.arrived) }

// run dispatches the request until there is a final answer.
func (t *task) run() {
	ctx, cancel := context.WithTimeoutCause(t.request.Context(), t.left(), errTimeout)
	defer cancel()
	t.ctx = ctx
	t.boundWrites(time.Now().Add(max(t.left(), 0) + writeGrace))
	t.lastEvent = t.call.LastEventID
	t.service = t.route.Service(xxhash.Sum64String(t.call.ID))
	t.gateway.parts.RetryBudget.Request(t.service)
	for tries := 0; ; tries++ {
		next := t.attempt()
		if next.done {
			t.finish(next)
			return
		}
		if tries >= maxPlaceTries {
			t.finish(t.giveUp(next.err))
			return
		}
	}
}

// writeGrace is how much longer than a request's time its caller may take to read what is left of the answer.
const writeGrace = time.Second

// boundWrites ends writes to a caller that does not read; the zero time lifts the bound of an earlier request on the
// connection.
func (t *task) boundWrites(until time.Time) {
	_ = http.NewResponseController(t.writer).SetWriteDeadline(until) // supported by net/http's server
}

// step is what an attempt came to: a final answer that was passed on, one of the node's own, or another attempt.
type step struct {
	done bool
	// refusal is the node's own answer, nil if an endpoint's was passed on.
	refusal *problem
	// abort breaks the connection off, because part of an answer was passed on.
	abort  bool
	status int
	err    error
}

// attempt gets a place and dispatches once.
func (t *task) attempt() step {
	place, err := t.gateway.parts.Places.Acquire(t.ctx, t.ask())
	if err != nil {
		return t.noPlace(err)
	}
	t.waited += place.Waited
	if refusal := t.stillAllowed(); refusal != nil {
		place.Release(notUsed)
		return step{done: true, refusal: refusal}
	}
	if e := t.gateway.parts.Directory.Current().Endpoint(place.Endpoint.Incarnation()); e == nil || e.Leaving {
		// It left while the request waited.
		place.Release(notUsed)
		return step{}
	}
	return t.dispatch(place)
}

func (t *task) ask() *places.Ask {
	ask := &places.Ask{
		Name:         t.call.ID,
		Service:      t.service,
		Tier:         t.route.Tier,
		RouteTier:    t.route.Tier,
		PromptTokens: t.call.PromptTokens,
		AnswerTokens: t.call.AnswerTokens(),
		EventGap:     t.route.EventGap,
		EventTokens:  t.eventTokens(),
		Fingerprint:  xxhash.Sum64String(t.call.ID),
		FirstByteDue: t.started.Add(t.route.FirstByte - t.waitedBefore),
		Due:          t.started.Add(t.allowed),
		Excluded:     t.tried,
		Urgent:       t.headSent || t.mayHaveRun,
	}
	ask.Blocks, ask.BlockTokens = t.call.blocks()
	if t.organisation != nil {
		ask.Organisation = t.organisation.ID
		if t.organisation.HasTier {
			ask.Tier, ask.Within = t.organisation.Tier, t.route.Tier
		}
	}
	return ask
}

// stillAllowed checks again, immediately before a dispatch, what may have changed while the request waited or the
// process was suspended.
func (t *task) stillAllowed() *problem {
	if t.left() < leastTimeLeft {
		return t.outOfTime()
	}
	if refused := t.quarantined(); refused != nil {
		return t.honest(refused)
	}
	if !t.keyed || t.mayHaveRun {
		// A request that has begun to run was allowed when it was sent, and may go on.
		return nil
	}
	if t.keysTooOld() {
		return t.honest(notReady("the keys in force are not known"))
	}
	if t.gateway.parts.Config.Table().Organisation(t.call.Key) == nil {
		return t.honest(&problem{Status: http.StatusUnauthorized, Title: "the key is no longer in force"})
	}
	return nil
}

// honest makes the answer one that promises nothing if the request may have run.
func (t *task) honest(p *problem) *problem {
	if !t.mayHaveRun {
		return p
	}
	return &problem{Status: http.StatusBadGateway, Title: p.Title, Outcome: outcomeUnknown, Cause: p.Cause}
}

func (t *task) outOfTime() *problem {
	if t.mayHaveRun {
		return &problem{Status: http.StatusGatewayTimeout, Title: "the request's time is over", Outcome: outcomeUnknown}
	}
	return &problem{
		Status: http.StatusServiceUnavailable, Title: "no endpoint was free in time", Outcome: outcomeNotRun, RetryAfter: soonRetry,
	}
}

// noPlace is the end of a request that gets no place.
func (t *task) noPlace(err error) step {
	var refusal *places.Refusal
	switch {
	case errors.As(err, &refusal):
		p := &problem{
			Status: http.StatusServiceUnavailable, Title: "no endpoint can take the request", Outcome: outcomeNotRun,
			RetryAfter: refusal.RetryAfter,
			Cause: fmt.Errorf("%w (wait %v, ahead %d, free %d, limited %d)", refusal, refusal.Wait, refusal.Ahead, refusal.Free,
				refusal.Limited),
		}
		return step{done: true, refusal: t.honest(p), err: err}
	case errors.Is(err, errTimeout):
		return step{done: true, refusal: t.outOfTime(), err: err}
	default:
		return step{done: true, err: errCallerGone, abort: true}
	}
}

// giveUp is the end after an attempt that can't be repeated.
func (t *task) giveUp(err error) step {
	s := step{done: true, err: err}
	switch {
	case errors.Is(err, errTimeout):
		s.refusal = t.outOfTime()
	case t.mayHaveRun:
		s.refusal = &problem{Status: http.StatusBadGateway, Title: "the endpoint's answer was lost", Outcome: outcomeUnknown, Cause: err}
	default:
		s.refusal = &problem{
			Status: http.StatusServiceUnavailable, Title: "no endpoint took the request", Outcome: outcomeNotRun,
			RetryAfter: soonRetry, Cause: err,
		}
	}
	return s
}

// finish tells the caller, unless an endpoint's answer was passed on, and logs the end.
func (t *task) finish(s step) {
	if t.counted && !t.mayHaveRun {
		t.gateway.parts.OrganisationLimits.Refund(t.organisation, t.cost)
	}
	if t.headSent && s.refusal != nil {
		// An answer of the node's own can't follow a part of an endpoint's: it would end as if it were complete.
		s.abort = true
	}
	t.logEnd(s)
	switch {
	case s.abort:
		// The library ends the connection without an end mark.
		panic(http.ErrAbortHandler)
	case s.refusal != nil:
		s.refusal.write(t.writer)
	}
}

// refuse answers a request that was not admitted.
func (t *task) refuse(p *problem) {
	t.close()
	t.logEnd(step{refusal: p, err: p.Cause})
	p.write(t.writer)
}
