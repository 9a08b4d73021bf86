// Package gateway serves requests by the accepted configuration: it finds the route and the organisation, counts the
// request under its limit, gets a place at an endpoint, dispatches it and passes the answer on.
//
// Guarantees. A request is dispatched by this process only, and again only if it has certainly not run or the route
// allows that it runs twice. 429 and 503 are answered only if it has not run and will not. An answer is passed on whole
// or ends visibly incomplete. A request that is given up gets its final answer at once.
package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/routing/quarantine"
	"hawthornrill.example/hawthornrill/tokenlimit"
)

// ConfigSource is what the node knows of the accepted configuration.
type ConfigSource interface {
	Table() *routetable.Table
	Age(now boottime.Instant) time.Duration
	// Behind is for how long a later configuration is known to exist that this node does not have, zero if none is.
	Behind(now boottime.Instant) time.Duration
}

var _ ConfigSource = (*follow.Follower)(nil)

// Dependencies are what a Gateway works with.
type Dependencies struct {
	Protocol           Protocol
	Config             ConfigSource
	Directory          *directory.Directory
	OrganisationLimits *tokenlimit.Limiter
	// EndpointLimits takes the limits that endpoints name; Limits are the organisations'.
	EndpointLimits *endpointlimit.Limiter
	RetryBudget    *retrybudget.Budget
	Places         *places.Desk
	// Quarantine knows the contents that crash the endpoints that run them.
	Quarantine     *quarantine.Board
	EndpointClient *exchange.Client
	Clock          boottime.Clock
	Log            zerolog.Logger
	Metrics        *metrics.Set
}

// Gateway is an http.Handler.
type Gateway struct {
	parts   Dependencies
	options Options
	metrics *metricSet
	bodies  atomic.Int64
	active  atomic.Int64
	// patience knows how long callers of the routes wait.
	patience patience
}

// New returns a gateway.
func New(parts Dependencies, options Options) *Gateway {
	if options.MaxHeldBodyBytes <= 0 {
		options.MaxHeldBodyBytes = defaultBodyBytes
	}
	g := &Gateway{parts: parts, options: options}
	g.metrics = newMetricSet(parts.Metrics, g)
	return g
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	t := newTask(g, w, r)
	t.boundWrites(time.Time{})
	if refused := t.admit(); refused != nil {
		t.refuse(refused)
		return
	}
	defer t.close()
	t.run()
}

// admit decodes and checks the request and counts it under its limit.
func (t *task) admit() *problem {
	table := t.gateway.parts.Config.Table()
	if table == nil {
		return notReady("the configuration is not known yet")
	}
	t.version = table.Version
	if t.gateway.outdated() {
		return notReady("a later configuration is in force than this node has")
	}
	if !strings.HasPrefix(t.request.RequestURI, "/") {
		return &problem{Status: http.StatusBadRequest, Title: "the request target must be a path"}
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headBytes(t.request) > limit {
		return &problem{Status: http.StatusRequestHeaderFieldsTooLarge, Title: "the head is too long"}
	}
	call, err := t.gateway.parts.Protocol.ReadCall(t.request.Header)
	if err != nil {
		return &problem{Status: http.StatusBadRequest, Title: err.Error()}
	}
	t.call = call
	path, _, _ := strings.Cut(t.request.RequestURI, "?")
	t.route = table.Route(t.request.Host, path)
	if t.route == nil {
		return &problem{Status: http.StatusNotFound, Title: "no route for this host and path"}
	}
	if refused := t.authenticate(table); refused != nil {
		return refused
	}
	t.setDeadline()
	if refused := t.readBody(table.Limits.MaxBodyBytes); refused != nil {
		return refused
	}
	t.content = t.fingerprint()
	if refused := t.quarantined(); refused != nil {
		return refused
	}
	return t.countIn()
}

// fingerprint identifies what is asked and by whom, whatever the attempt.
func (t *task) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{t.request.Method, t.request.Host, t.request.RequestURI, t.call.Key} {
		_, _ = d.WriteString(part + "\n") // a hash does not fail
	}
	_, _ = d.Write(t.body)
	return d.Sum64()
}

// quarantined refuses a content that has crashed the endpoints that ran it.
func (t *task) quarantined() *problem {
	left := t.gateway.parts.Quarantine.Quarantined(t.content)
	if left <= 0 {
		return nil
	}
	return &problem{
		Status: http.StatusServiceUnavailable, Title: "the request has broken off the endpoints that ran it", Outcome: outcomeNotRun,
		RetryAfter: left,
	}
}

// outdated reports whether a later configuration has been in force for so long that requests must not go by the one that
// this node has: it may allow what is no longer allowed.
func (g *Gateway) outdated() bool {
	return g.options.MaxConfigLag > 0 && g.parts.Config.Behind(g.parts.Clock()) > g.options.MaxConfigLag
}

// headBytes is the length of a request's head as it was sent, but for white space.
func headBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// authenticate finds the organisation of the request's key.
func (t *task) authenticate(table *routetable.Table) *problem {
	t.keyed = table.RequiresKeys() && !t.route.Public
	if !t.keyed {
		return nil
	}
	if t.keysTooOld() {
		return notReady("the keys in force are not known")
	}
	t.organisation = table.Organisation(t.call.Key)
	if t.organisation == nil {
		return &problem{Status: http.StatusUnauthorized, Title: "the key is missing or not in force"}
	}
	return nil
}

// keysTooOld reports whether a key may have been taken away for longer than it may go on working.
func (t *task) keysTooOld() bool {
	g := t.gateway
	return g.options.MaxKeyAge > 0 && g.parts.Config.Age(g.parts.Clock()) > g.options.MaxKeyAge
}

// setDeadline bounds the request by the route's time and the caller's.
func (t *task) setDeadline() {
	t.allowed = t.route.Timeout
	if t.call.Timeout > 0 && (t.allowed <= 0 || t.call.Timeout < t.allowed) {
		t.allowed = t.call.Timeout
	}
	if t.allowed <= 0 {
		t.allowed = defaultAllowed
	}
	t.waitedBefore = t.gateway.patience.waited(t.route.Name, t.call.Timeout)
}

// defaultAllowed is the time of a request if neither the route nor the caller bounds it.
const defaultAllowed = 30 * time.Second

// readBody reads the whole body, so that the endpoint never waits for the caller and the request can be repeated.
func (t *task) readBody(limit int64) *problem {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if t.request.ContentLength > limit {
		return &problem{Status: http.StatusRequestEntityTooLarge, Title: "the body is too long"}
	}
	if t.request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(t.writer)
	_ = controller.SetReadDeadline(time.Now().Add(t.allowed)) // supported by net/http's server
	body, err := io.ReadAll(http.MaxBytesReader(t.writer, t.request.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return &problem{Status: http.StatusRequestEntityTooLarge, Title: "the body is too long"}
	}
	if err != nil {
		return &problem{Status: http.StatusBadRequest, Title: "the body could not be read", Cause: err}
	}
	t.body = body
	if t.gateway.bodies.Add(int64(len(body))) > t.gateway.options.MaxHeldBodyBytes {
		return notReady("the node holds too many request bodies")
	}
	return nil
}

// countIn counts the request under its organisation's limit.
func (t *task) countIn() *problem {
	if t.organisation == nil {
		return nil
	}
	t.cost = t.organisation.Cost(t.call.Tokens())
	ok, retry := t.gateway.parts.OrganisationLimits.Admit(t.organisation, t.cost)
	if !ok {
		return &problem{
			Status: http.StatusTooManyRequests, Title: "the organisation is at its limit", Outcome: outcomeNotRun, RetryAfter: retry,
		}
	}
	t.counted = true
	return nil
}
