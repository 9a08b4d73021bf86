package endpointgate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// maxRest bounds a rest, so that a wrong value can't take an endpoint out for good.
const maxRest = time.Hour

// Limits are the endpoints' own rate limits on requests from all nodes together.
type Limits interface {
	// Bars reports whether this node must send the endpoint nothing while its limit is in force.
	Bars(e *directory.Endpoint) bool
	// Allows reports whether this node may send the endpoint one more request now.
	Allows(e *directory.Endpoint) bool
	// Take counts a request and returns the limit in requests per second, zero if there is none.
	Take(e *directory.Endpoint) (perSecond float64)
}

// Shares are this node's shares of the slots of endpoints that must not have to reject requests.
type Shares interface {
	// Share returns how many requests this node may have at the endpoint at a time, and whether there is such a bound.
	Share(e *directory.Endpoint) (share int, bound bool)
}

// Config is a Gate's dependencies.
type Config struct {
	Directory *directory.Directory
	Limits    Limits
	// Shares may be nil.
	Shares  Shares
	Clock   boottime.Clock
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Gate decides whether this node may send requests to an endpoint. It is safe for concurrent use.
type Gate struct {
	config Config
	// rests is replaced at each change, so that it is read without a lock.
	rests atomic.Pointer[map[domain.EndpointID]rest]
	// mu serialises changes.
	mu sync.Mutex

	restNotices, leavingNotices, malformedNotices *metrics.Counter
}

// New returns a gate that knows of no rest, and registers its metrics.
func New(config Config) *Gate {
	g := &Gate{
		config:           config,
		restNotices:      config.Metrics.NewCounter("hawthornrill_endpoint_rests_total"),
		leavingNotices:   config.Metrics.NewCounter("hawthornrill_endpoint_leaving_notices_total"),
		malformedNotices: config.Metrics.NewCounter("hawthornrill_endpoint_notices_malformed_total"),
	}
	g.rests.Store(&map[domain.EndpointID]rest{})
	config.Metrics.NewGauge("hawthornrill_endpoints_resting", func() float64 { return float64(g.resting()) })
	return g
}

// Record records the notice in an endpoint's response to the request with the given ID.
func (g *Gate) Record(e *directory.Endpoint, request string, n Notice) {
	if n.Err == nil && !n.Leaving && n.Rest <= 0 {
		return
	}
	id := e.Incarnation()
	if n.Err != nil {
		g.malformedNotices.Inc()
		g.config.Log.Warn().Err(n.Err).Str("endpoint", string(id)).Str("request", request).Dur("rest_ms", n.Rest).
			Bool("leaving", n.Leaving).Msg("malformed notice in an endpoint's response")
	}
	if n.Leaving {
		g.recordLeaving(id, request)
	}
	if n.Rest > 0 {
		g.recordRest(e, request, n.Rest)
	}
}

// recordLeaving takes an endpoint out of service for good at its first notice that it is leaving.
func (g *Gate) recordLeaving(id domain.EndpointID, request string) {
	if !g.config.Directory.AnnounceLeaving(g.config.Clock(), id) {
		return
	}
	g.leavingNotices.Inc()
	g.config.Log.Info().Str("endpoint", string(id)).Str("request", request).Msg("endpoint says that it is leaving")
}

// recordRest begins a rest or extends the one in force. A shorter one does not end it.
func (g *Gate) recordRest(e *directory.Endpoint, request string, asked time.Duration) {
	g.restNotices.Inc()
	bounded := min(asked, maxRest)
	now := g.config.Clock()
	next := newRest(e.Incarnation(), now, bounded)
	g.mu.Lock()
	defer g.mu.Unlock()
	before, ok := (*g.rests.Load())[e.ID]
	if !ok || g.replaces(next, before, e) {
		g.set(e.ID, next)
	}
	g.config.Log.Info().Str("endpoint", string(next.incarnation)).Str("request", request).Dur("asked_ms", asked).
		Dur("rest_ms", bounded).Bool("extends", ok && before.endsAt > now).Msg("endpoint asks for rest")
}

// replaces reports whether a rest that a request to the endpoint began takes the place of an earlier one: if it is longer or, for
// another incarnation, unless the earlier one is the listed incarnation's own and binds that for longer.
func (g *Gate) replaces(next, before rest, e *directory.Endpoint) bool {
	if before.incarnation == next.incarnation {
		return next.endsAt > before.endsAt
	}
	listed := g.config.Directory.Current().Endpoint(before.incarnation)
	return listed == nil || next.boundTo(listed).endsAt > before.endsAt
}

// brittleRest is how long an endpoint that must not have to reject requests gets none of this node after it has.
const brittleRest = time.Second

// RecordRejection records that the endpoint had no room for the request with the given ID. An endpoint that must not have to
// reject requests then rests.
func (g *Gate) RecordRejection(e *directory.Endpoint, request string) {
	if _, bound := g.Share(e); bound {
		g.recordRest(e, request, brittleRest)
	}
}

// resting counts the endpoints whose rest is in force.
func (g *Gate) resting() int {
	now := g.config.Clock()
	n := 0
	for _, r := range *g.rests.Load() {
		if r.endsAt > now {
			n++
		}
	}
	return n
}

// Sweep drops the rests that are over.
func (g *Gate) Sweep() {
	if !g.AnyRest() {
		return
	}
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	rests := maps.Clone(*g.rests.Load())
	for id, r := range rests {
		if r.over(now) {
			delete(rests, id)
			g.config.Log.Info().Str("endpoint", string(r.incarnation)).Dur("rest_ms", r.asked).Int64("sent_since", r.sent.Load()).
				Msg("endpoint's rest is over")
		}
	}
	g.rests.Store(&rests)
}

// set replaces the rest of one endpoint. The lock is held.
func (g *Gate) set(id domain.EndpointID, r rest) {
	rests := maps.Clone(*g.rests.Load())
	rests[id] = r
	g.rests.Store(&rests)
}
