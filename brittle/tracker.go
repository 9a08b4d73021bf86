package brittle

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
	"hawthornrill.example/hawthornrill/gossip"
)

const (
	// reportFor is how long a node reports a statement after receiving it.
	reportFor = 3 * time.Second
	// expireAfter is how long a statement holds that is not repeated.
	expireAfter = 15 * time.Second
	// shareInterval is the time between computations of the shares, since nodes join and leave.
	shareInterval = 500 * time.Millisecond
)

// Config is a Tracker's configuration and dependencies.
type Config struct {
	Self  domain.NodeID
	Clock boottime.Clock
	// Members returns all nodes that may be alive, this one included.
	Members   func() []domain.Member
	Directory *directory.Directory
	Log       zerolog.Logger
	Metrics   *metrics.Set
}

// Tracker knows which services are brittle. It is safe for concurrent use.
type Tracker struct {
	config Config
	// services is replaced at each change, so that it is read without a lock.
	services atomic.Pointer[map[string]known]

	mu     sync.Mutex
	shares map[domain.EndpointID]cachedShare
	// peers are the nodes that reported while a service was brittle, lending is what this node lends, by service.
	peers   map[domain.NodeID]*peerState
	lending map[string]*lending

	malformed *metrics.Counter
}

// cachedShare is this node's share of an endpoint's slots when it was last computed.
type cachedShare struct {
	slots, share int
	computedAt   boottime.Instant
}

// New returns a tracker that knows of no statement, and registers its metrics.
func New(config Config) *Tracker {
	t := &Tracker{
		config: config, shares: make(map[domain.EndpointID]cachedShare),
		peers: make(map[domain.NodeID]*peerState), lending: make(map[string]*lending),
		malformed: config.Metrics.NewCounter("hawthornrill_brittle_statements_malformed_total"),
	}
	t.services.Store(&map[string]known{})
	config.Metrics.NewGauge("hawthornrill_services_brittle", func() float64 { return float64(t.count()) })
	return t
}

// Record records the statement in a response of an endpoint of the service and the software version. Sent is when the request was
// sent. A response without a statement ends that of its own version only: others may repeat theirs.
func (t *Tracker) Record(service, version string, sent boottime.Instant, s Statement) {
	if s.Kind == Invalid {
		t.malformed.Inc()
		t.config.Log.Warn().Str("service", service).Msg("malformed statement of brittleness in an endpoint's response")
		return
	}
	if _, ok := (*t.services.Load())[service]; !ok && s.Kind == None {
		return
	}
	now := t.config.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	before := (*t.services.Load())[service]
	if sent < before.statedAt || s.Kind == None && before.brittle && before.version != "" && before.version != version {
		return
	}
	next := known{brittle: s.Kind == Stated, maxRejections: s.MaxRejections, version: version, statedAt: sent, receivedAt: now}
	// Most answers repeat the statement; the map is replaced only now and then for these.
	if next.brittle == before.brittle && next.maxRejections == before.maxRejections && now.Sub(before.receivedAt) < reportFor/4 {
		return
	}
	t.set(service, next, string(t.config.Self))
}

// set records a statement and logs a change. The lock is held.
func (t *Tracker) set(service string, next known, from string) {
	services := maps.Clone(*t.services.Load())
	before := services[service]
	services[service] = next
	t.services.Store(&services)
	if before.brittle != next.brittle || before.maxRejections != next.maxRejections {
		t.config.Log.Info().Str("service", service).Bool("brittle", next.brittle).Int("max_rejections", next.maxRejections).
			Bool("brittle_before", before.brittle).Str("from", from).Dur("age_ms", t.config.Clock().Sub(next.statedAt)).
			Msg("brittleness of a service changed")
	}
}

// Share returns how many requests this node may have at the endpoint at a time, and whether there is such a bound.
func (t *Tracker) Share(e *directory.Endpoint) (share int, bound bool) {
	k, ok := (*t.services.Load())[e.Service]
	if !ok || !k.brittle {
		return 0, false
	}
	now := t.config.Clock()
	if now.Sub(k.statedAt) > expireAfter {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cached, ok := t.shares[e.Incarnation()]
	if !ok || cached.slots != e.Slots || now.Sub(cached.computedAt) >= shareInterval {
		cached = cachedShare{slots: e.Slots, share: t.available(now, e), computedAt: now}
		t.shares[e.Incarnation()] = cached
	}
	return cached.share, true
}

// AddToReport adds the statements that this node recently received to a report, and what it lends. The report has the demand of
// this node's callers.
func (t *Tracker) AddToReport(report *gossip.Report) {
	now := t.config.Clock()
	services := *t.services.Load()
	if len(services) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	places := placesByService(report.Asked)
	for service, k := range services {
		if k.brittle {
			if lent, ok := t.lend(now, service, places[service]); ok {
				report.Lent = append(report.Lent, lent)
			}
		}
		if k.receivedAt != 0 && now.Sub(k.receivedAt) < reportFor {
			report.Brittle = append(report.Brittle, gossip.BrittleService{
				Service: service, MaxRejections: k.maxRejections, Ended: !k.brittle, AgeMillis: now.Sub(k.statedAt).Milliseconds(),
			})
		}
	}
}

// ApplyReport records the statements in a peer's report, unless a later one is known, and what the peer needs and lends.
func (t *Tracker) ApplyReport(report *gossip.Report) {
	if len(report.Brittle) == 0 && len(*t.services.Load()) == 0 {
		return
	}
	now := t.config.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	state := newPeerState(now, t.config.Self, report)
	t.logBorrowing(report.From, t.peers[report.From], state)
	t.peers[report.From] = state
	for _, r := range report.Brittle {
		before, ok := (*t.services.Load())[r.Service]
		statedAt := now.Add(-time.Duration(max(r.AgeMillis, 0)) * time.Millisecond)
		if !ok && r.Ended || ok && statedAt <= before.statedAt {
			continue
		}
		t.set(r.Service, known{
			brittle: !r.Ended, maxRejections: r.MaxRejections, statedAt: statedAt, receivedAt: before.receivedAt,
		}, string(report.From))
	}
}

// Sweep removes statements that have not been repeated, shares that are not used, and reports that are too old.
func (t *Tracker) Sweep() {
	if len(*t.services.Load()) == 0 {
		return
	}
	now := t.config.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	services := maps.Clone(*t.services.Load())
	for service, k := range services {
		if now.Sub(k.statedAt) > expireAfter {
			delete(services, service)
			t.config.Log.Info().Str("service", service).Bool("brittle", k.brittle).Dur("age_ms", now.Sub(k.statedAt)).
				Msg("statement of brittleness not repeated, forgotten")
		}
	}
	t.services.Store(&services)
	if len(services) == 0 {
		clear(t.peers)
	}
	maps.DeleteFunc(t.shares, func(_ domain.EndpointID, s cachedShare) bool { return now.Sub(s.computedAt) > expireAfter })
	maps.DeleteFunc(t.peers, func(_ domain.NodeID, p *peerState) bool { return !p.current(now) })
	maps.DeleteFunc(t.lending, func(_ string, l *lending) bool { return l.unusable(now) == 0 })
}

// count returns the number of services that are brittle.
func (t *Tracker) count() int {
	n := 0
	for _, k := range *t.services.Load() {
		if k.brittle {
			n++
		}
	}
	return n
}
