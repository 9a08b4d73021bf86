package gateway

import (
	"errors"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
)

const (
	// takeoverFraction bounds the requests that a node serves for others at a time, as a fraction of the slots of the service's
	// endpoints, and takeoverRatio as a multiple of those of its own callers: under overload both wait in the same queue, and
	// neither may crowd out the other. The larger bound counts; minTakeovers is the least.
	takeoverFraction = 1
	takeoverRatio    = 2
	minTakeovers     = 16
	// bodyTimeout limits the time in which the body of a forwarded request must arrive once a slot is held for it: a lost segment
	// takes several hundred milliseconds.
	bodyTimeout = time.Second
)

var errForwardAbandoned = errors.New("gateway: the first node has given up the request")

// ServeForwarded serves a request that another node forwards. See forward.go.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	g.forwarded.Add(1)
	defer func() {
		g.forwarded.Add(-1)
		g.active.Add(-1)
	}()
	t := newTask(g, w, r)
	t.forwarded = &forwardHead{}
	field := fieldForward
	if r.Header.Get(fieldForwardResumption) != "" {
		field = fieldForwardResumption
	}
	if err := readField(r.Header, field, t.forwarded); err != nil {
		t.refuse(&problem{Status: http.StatusBadRequest, Title: "the request was not forwarded by a node", Cause: err})
		return
	}
	r.Header.Del(field)
	w.WriteHeader(http.StatusProcessing) // tells the first node that this one is alive
	if refused := t.admit(); refused != nil {
		t.refuse(refused)
		return
	}
	defer t.releaseBody()
	if !t.beginTakeover() {
		t.refuse(unavailable("the node serves too many requests of other nodes"))
		return
	}
	defer g.takeovers.Add(-1)
	t.run()
}

// admitForwarded continues the admission of a forwarded request. The first node has charged it and buffers its body.
func (t *task) admitForwarded() *problem {
	t.bodyPending = true
	t.tried = append(t.tried, t.forwarded.Tried...)
	t.triedBefore = len(t.tried)
	t.call.LastEventID = t.forwarded.LastEventID
	t.service, t.origin = t.chooseService(), t.forwarded.Origin
	if t.forwarded.LastEventID != "" || t.isResumption() {
		if !t.origin.Known() {
			return notResumable("the other node does not tell which software version began the stream")
		}
		t.service = t.origin.Service
	}
	if r := t.gateway.deps.Reach; r != nil && r.Lost(t.service) {
		return unavailable("the node does not reach the service either")
	}
	return nil
}

// beginTakeover reserves one of the requests that the node may serve for others at a time.
func (t *task) beginTakeover() bool {
	g := t.gateway
	own := float64(g.active.Load() - g.forwarded.Load())
	bound := max(takeoverFraction*float64(g.deps.Places.Slots(t.service)), takeoverRatio*own, minTakeovers)
	if float64(g.takeovers.Add(1)) > bound*t.tierPart() {
		g.takeovers.Add(-1)
		return false
	}
	return true
}

// receiveBody reads the body of a forwarded request, which asks the first node for it. It refuses the request if that node has
// given it up.
func (t *task) receiveBody() *problem {
	if !t.bodyPending {
		return nil
	}
	if refused := t.bufferBody(t.gateway.deps.Config.Table().Limits.MaxBodyBytes, bodyTimeout); refused != nil {
		refused.Cause = errors.Join(errForwardAbandoned, refused.Cause)
		return refused
	}
	t.bodyPending = false
	t.contentHash = t.computeContentHash()
	return nil
}

// nameEndpoint states, for the node that forwarded the request, the endpoint and the software version that its response comes from.
func (a *attempt) nameEndpoint(h http.Header, response *exchange.Response) {
	if a.task.forwarded == nil {
		return
	}
	h.Set(fieldAnsweredBy, string(a.receiver()))
	if from, _ := a.origin(response); from.Known() {
		setField(h, fieldOrigin, from)
	}
}

// addForwardResult tells the first node what became of a request to which this node responds itself.
func (t *task) addForwardResult(p *problem) {
	outcome := domain.Outcome(outcomeNotRun)
	if t.mayHaveRun {
		outcome = outcomeUnknown
	}
	setField(t.writer.Header(), fieldForwardResult, forwardResult{
		Outcome: outcome, Tried: t.tried[t.triedBefore:], Dispatches: t.endpointsTried(), RetryAfter: p.RetryAfter,
	})
}
