// Package gateway serves requests according to the accepted configuration. It finds the route and the organisation,
// charges the request to the organisation's limit, acquires a slot on an endpoint, dispatches the request and forwards the
// response.
//
// A request for a service whose endpoints this node does not reach is forwarded to another node, which dispatches it.
//
// Guarantees. Only this process dispatches a request or, once it has handed over the whole body, the node to which it was
// forwarded. A request is retried only if it has certainly not run or the route allows it to run twice. 429 and 503 are
// returned only if the request has not run and will not. A response is forwarded complete or ends visibly truncated. A request
// that is given up gets its final response at once.
package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/brittle"
	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/callers"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/origin"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/poison"
	"hawthornrill.example/hawthornrill/reach"
	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/tokenlimit"
)

// ConfigSource provides the accepted configuration as far as this node has it.
type ConfigSource interface {
	// Table returns the configuration, nil until one is known.
	Table() *routetable.Table
	// Age is how long a change to the configuration may have remained unnoticed by this node.
	Age(now boottime.Instant) time.Duration
	// Behind is how long a later configuration has been known to exist that this node does not have; zero if there is none.
	Behind(now boottime.Instant) time.Duration
}

var _ ConfigSource = (*follow.Follower)(nil)

// Dependencies are the components that a Gateway uses.
type Dependencies struct {
	Protocol           Protocol
	Config             ConfigSource
	Directory          *directory.Directory
	OrganisationLimits *tokenlimit.Limiter
	// EndpointLimits records the limits that endpoints advertise.
	EndpointLimits *endpointlimit.Limiter
	// EndpointGate decides whether endpoints may be sent to, from what they say among other things.
	EndpointGate *endpointgate.Gate
	// Brittle records which services must not have to reject requests. It may be nil.
	Brittle     *brittle.Tracker
	RetryBudget *retrybudget.Budget
	// Origins knows which software version began each stream.
	Origins *origin.Keeper
	Places  *places.Allocator
	// CrashParts identifies request contents, and parts of prompts, that end the endpoints that answer them.
	CrashParts     *poison.Tracker
	EndpointClient *exchange.Client
	// Reach tells which services' endpoints this node reaches. PeerClient forwards requests for the others to other nodes. Both
	// are nil if requests are not forwarded.
	Reach      *reach.Monitor
	PeerClient *exchange.Client
	Clock      boottime.Clock
	Log        zerolog.Logger
	Metrics    *metrics.Set
}

// Gateway is an http.Handler that routes requests to endpoints.
type Gateway struct {
	deps    Dependencies
	options Options
	metrics *metricSet
	// bodies bounds the request bodies, also while they are read, answers what is buffered of endpoints' responses.
	bodies  *bytebudget.Budget
	answers *bytebudget.Budget
	active  atomic.Int64
	// forwarded counts the requests in progress that other nodes forwarded, takeovers those of them that were admitted.
	forwarded      atomic.Int64
	takeovers      atomic.Int64
	refusing       atomic.Bool
	stopped        atomic.Bool
	callerTimeouts callerTimeouts
}

// New returns a Gateway and registers its metrics.
func New(deps Dependencies, options Options) *Gateway {
	if options.MaxHeldBodyBytes <= 0 {
		options.MaxHeldBodyBytes = defaultMaxBodyBytes
	}
	if options.MaxHeldAnswerBytes <= 0 {
		options.MaxHeldAnswerBytes = defaultMaxAnswerBytes
	}
	g := &Gateway{
		deps: deps, options: options,
		bodies: bytebudget.New(options.MaxHeldBodyBytes, smallBodyBytes), answers: bytebudget.New(options.MaxHeldAnswerBytes, 0),
	}
	g.metrics = newMetricSet(deps.Metrics, g)
	return g
}

// reserveAnswer returns an empty reservation for a response.
func (g *Gateway) reserveAnswer() bytebudget.Reservation { return g.answers.Reserve(1) }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// RefuseRequests makes the gateway refuse all requests that it receives from now on, as not run.
func (g *Gateway) RefuseRequests() { g.refusing.Store(true) }

// StopDispatching makes the gateway dispatch nothing from now on: requests that wait for a slot end as not run. It is called
// before the contexts of the requests are ended.
func (g *Gateway) StopDispatching() { g.stopped.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	t := newTask(g, w, r)
	t.setWriteDeadline(time.Time{})
	if refused := t.admit(); refused != nil {
		t.refuse(refused)
		return
	}
	defer t.releaseBody()
	t.run()
}

// admit decodes and validates the request and charges it to its organisation's limit.
func (t *task) admit() *problem {
	table := t.gateway.deps.Config.Table()
	if table == nil {
		return unavailable("the configuration is not known yet")
	}
	t.configVersion = table.Version
	if !callers.Admitted(t.request.Context()) {
		callers.Reclaim(t.request.Context())
		return headNoRoom()
	}
	if t.gateway.configOutdated() {
		return unavailable("a later configuration is in force than this node has")
	}
	if !strings.HasPrefix(t.request.RequestURI, "/") {
		return &problem{Status: http.StatusBadRequest, Title: "the request target must be a path"}
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(t.request) > limit {
		return headTooLong()
	}
	call, err := t.gateway.deps.Protocol.ReadCall(t.request.Header)
	if err != nil {
		return &problem{Status: http.StatusBadRequest, Title: err.Error()}
	}
	t.call = call
	if t.gateway.refusing.Load() {
		return unavailable("the node is leaving")
	}
	path, _, _ := strings.Cut(t.request.RequestURI, "?")
	t.route = table.Route(t.request.Host, path)
	if t.route == nil {
		return &problem{Status: http.StatusNotFound, Title: "no route for this host and path"}
	}
	if refused := t.authenticate(table); refused != nil {
		return refused
	}
	t.setDeadline()
	if t.forwarded != nil {
		return t.admitForwarded()
	}
	if refused := t.readBody(table.Limits.MaxBodyBytes); refused != nil {
		return refused
	}
	t.contentHash = t.computeContentHash()
	t.gateway.deps.CrashParts.Observe(t.suspect())
	if refused := t.checkQuarantine(); refused != nil {
		return refused
	}
	return t.chargeLimit()
}

// computeContentHash hashes the request's content and key; all attempts of one request have the same hash.
func (t *task) computeContentHash() uint64 {
	d := xxhash.New()
	for _, part := range []string{t.request.Method, t.request.Host, t.request.RequestURI, t.call.Key} {
		_, _ = d.WriteString(part + "\n") // never fails
	}
	_, _ = d.Write(t.body.data)
	return d.Sum64()
}

// checkQuarantine refuses a request whose content, or a part of whose prompt, has crashed the endpoints that ran it.
func (t *task) checkQuarantine() *problem {
	if t.gateway.deps.CrashParts.Refuses(t.suspect()) {
		return crashPartProblem()
	}
	return nil
}

// configOutdated reports whether a later configuration has been in force for so long that this node's must not be used: it
// may allow what is no longer allowed.
func (g *Gateway) configOutdated() bool {
	return g.options.MaxConfigLag > 0 && g.deps.Config.Behind(g.deps.Clock()) > g.options.MaxConfigLag
}

// headerBytes is the least size that the request line and header can have had as they were sent: white space after a colon is
// optional, and a line may end in LF alone.
func headerBytes(r *http.Request) int {
	const separators = len(":\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// authenticate looks up the organisation of the request's key.
func (t *task) authenticate(table *routetable.Table) *problem {
	t.requiresKey = table.RequiresKeys() && !t.route.Public
	if !t.requiresKey {
		return nil
	}
	if t.keysStale() {
		return unavailable("the keys in force are not known")
	}
	t.organisation = table.Organisation(t.call.Key)
	if t.organisation == nil {
		return &problem{Status: http.StatusUnauthorized, Title: "the key is missing or not in force"}
	}
	return nil
}

// keysStale reports whether this node's configuration is so old that a revoked key could still be accepted after the
// allowed time.
func (t *task) keysStale() bool {
	g := t.gateway
	return g.options.MaxKeyAge > 0 && g.deps.Config.Age(g.deps.Clock()) > g.options.MaxKeyAge
}

// setDeadline sets the request's timeout to the shorter of the route's and the caller's.
func (t *task) setDeadline() {
	t.timeout = t.route.Timeout
	if t.call.Timeout > 0 && (t.timeout <= 0 || t.call.Timeout < t.timeout) {
		t.timeout = t.call.Timeout
	}
	if t.timeout <= 0 {
		t.timeout = defaultTimeout
	}
	if t.forwarded != nil {
		t.timeout, t.waitedBefore = t.forwarded.TimeLeft, t.forwarded.WaitedBefore
		return
	}
	t.waitedBefore = t.gateway.callerTimeouts.estimatedWait(t.route.Name, t.call.Timeout)
}

// defaultTimeout applies if neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// chargeLimit charges the request's cost to its organisation's limit.
func (t *task) chargeLimit() *problem {
	if t.organisation == nil {
		return nil
	}
	t.cost = t.organisation.Cost(t.call.Tokens())
	ok, retry := t.gateway.deps.OrganisationLimits.Admit(t.organisation, t.cost)
	if !ok {
		return &problem{
			Status: http.StatusTooManyRequests, Title: "the organisation is at its limit", Outcome: outcomeNotRun, RetryAfter: retry,
		}
	}
	t.charged = true
	return nil
}
