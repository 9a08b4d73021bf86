package reach

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// Config is a Monitor's identity and dependencies.
type Config struct {
	DataCentre domain.DataCentre
	Directory  *directory.Directory
	// Connect opens a connection to the address, "IP:port", and closes it. It returns within ConnectTimeout.
	Connect func(ctx context.Context, address string) error
	// Address is the address, "IP:port", at which this node takes requests of others.
	Address string
	// OnLost is called with each service that is lost.
	OnLost  func(service string)
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Monitor holds what this node knows about its paths to the endpoints and about those of the other nodes. It is safe for
// concurrent use.
type Monitor struct {
	config Config
	start  time.Time
	peers  *peers
	// services is replaced when one is added, so that it is read without a lock.
	services atomic.Pointer[map[string]*service]
	mu       sync.Mutex
	// troubles receives a value when an endpoint could not be reached.
	troubles chan struct{}

	checks, losses *metrics.Counter
}

// New returns a monitor that believes that all services are reached. Run checks them.
func New(config Config) *Monitor {
	m := &Monitor{
		config: config, start: time.Now(), peers: newPeers(), troubles: make(chan struct{}, 1),
		checks: config.Metrics.NewCounter("hawthornrill_reach_checks_total"),
		losses: config.Metrics.NewCounter("hawthornrill_reach_losses_total"),
	}
	m.services.Store(&map[string]*service{})
	config.Metrics.NewGauge("hawthornrill_services_lost", func() float64 { return float64(len(m.lost())) })
	return m
}

// service returns the record of a service, which is made at the first use.
func (m *Monitor) service(name string) *service {
	if s, ok := (*m.services.Load())[name]; ok {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.services.Load()
	if s, ok := old[name]; ok {
		return s
	}
	next := maps.Clone(old)
	s := &service{name: name}
	next[name] = s
	m.services.Store(&next)
	return s
}

// Begin records that a request waits for an endpoint of the service. The function that it returns records its end.
func (m *Monitor) Begin(name string) (end func()) {
	s := m.service(name)
	s.waiting.Add(1)
	s.waitingSince.CompareAndSwap(0, m.since())
	return func() {
		if s.waiting.Add(-1) == 0 {
			s.waitingSince.Store(0) // if a request has begun in this moment, the next one sets it again
		}
	}
}

// Heard records that an endpoint of the service sent something.
func (m *Monitor) Heard(name string) { m.service(name).heardAt.Store(m.since()) }

// NotReached records that an endpoint of the service could not be reached.
func (m *Monitor) NotReached(name string) {
	m.service(name).troubledAt.Store(m.since())
	select {
	case m.troubles <- struct{}{}:
	default:
	}
}

// Lost reports whether this node reaches no endpoint of the service.
func (m *Monitor) Lost(name string) bool {
	s, ok := (*m.services.Load())[name]
	return ok && s.lost.Load()
}

// lost returns the services that are lost.
func (m *Monitor) lost() []string {
	var names []string
	for name, s := range *m.services.Load() {
		if s.lost.Load() {
			names = append(names, name)
		}
	}
	return names
}

// Helper is another node that reaches a service.
type Helper struct {
	Node    domain.NodeID
	Address string
}

// Helper returns a node to which a request for the service should go, because this node has lost the service and that one
// has not. False means that there is none; the excluded ones don't count.
func (m *Monitor) Helper(name string, excluded []domain.NodeID) (Helper, bool) {
	if !m.Lost(name) {
		return Helper{}, false
	}
	return m.peers.helper(name, m.config.DataCentre, excluded, time.Now())
}

// BeginForward records that a node gets a request of this one. The function that it returns records the end, and whether the
// node failed to take the request.
func (m *Monitor) BeginForward(node domain.NodeID) (end func(failed bool)) {
	m.peers.begin(node)
	return func(failed bool) { m.peers.end(node, failed, time.Now()) }
}

// FillReport adds to a report which services this node has lost, and on those that others have lost its own evidence.
func (m *Monitor) FillReport(report *gossip.Report) {
	now := time.Now()
	for name, s := range *m.services.Load() {
		if s.lost.Load() {
			report.Reach = append(report.Reach, gossip.ServiceReach{Service: name, Lost: true})
			continue
		}
		heardAt := m.instant(s.heardAt.Load())
		if age := now.Sub(heardAt); age < evidenceValidity && m.peers.wants(name, now) {
			report.Reach = append(report.Reach, gossip.ServiceReach{Service: name, AgeMillis: int(age.Milliseconds())})
			report.Forwards = m.config.Address
		}
	}
}

// ApplyReport records the evidence in another node's report.
func (m *Monitor) ApplyReport(report *gossip.Report) {
	m.peers.apply(time.Now(), report)
	for _, r := range report.Reach {
		m.service(r.Service) // so that it is checked although nothing is sent to it
	}
}

// tickInterval is how often the monitor looks for services that need a check.
const tickInterval = 100 * time.Millisecond

// Run checks the services until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.troubles:
		case <-ticker.C:
			m.peers.sweep(time.Now())
			m.prune()
		}
		m.startChecks(ctx)
	}
}

// prune forgets services that have no endpoints and no requests.
func (m *Monitor) prune() {
	snapshot := m.config.Directory.Current()
	unused := func(name string, s *service) bool { return s.waiting.Load() == 0 && len(snapshot.Service(name)) == 0 }
	anyUnused := false
	for name, s := range *m.services.Load() {
		anyUnused = anyUnused || unused(name, s)
	}
	if !anyUnused {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	services := maps.Clone(*m.services.Load())
	maps.DeleteFunc(services, unused)
	m.services.Store(&services)
}

func (m *Monitor) startChecks(ctx context.Context) {
	now := time.Now()
	for _, s := range *m.services.Load() {
		if m.evidence(s, now).needsCheck(now) && s.checking.CompareAndSwap(false, true) {
			go func() {
				defer s.checking.Store(false)
				m.check(ctx, s)
			}()
		}
	}
}

// check opens connections to some of the service's endpoints at the same time, and to more of them if all fail although an
// endpoint is heard: connections that were open before may live on while new ones fail.
func (m *Monitor) check(ctx context.Context, s *service) {
	started := m.since()
	s.checkedAt.Store(started)
	m.checks.Inc()
	failures, ok := m.connectAny(ctx, s, maxChecked)
	if !ok && failures != nil && s.heardAt.Load() > started {
		failures, ok = m.connectAny(ctx, s, maxCheckedAgain)
	}
	switch {
	case ok:
		s.heardAt.Store(m.since())
		m.found(s)
	case failures != nil && ctx.Err() == nil:
		m.lose(s, failures)
	}
}

// connectAny connects to up to n of the service's endpoints and reports whether one accepts. The error is nil if there are none.
func (m *Monitor) connectAny(ctx context.Context, s *service, n int) (failures error, ok bool) {
	endpoints := m.endpoints(s, n)
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	results := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() { results <- m.config.Connect(ctx, e.Address) }()
	}
	for range endpoints {
		err := <-results
		if err == nil {
			return nil, true
		}
		failures = err
	}
	return failures, false
}

// endpoints returns up to n of the service's endpoints, each time others in turn.
func (m *Monitor) endpoints(s *service, n int) []*directory.Endpoint {
	var listed []*directory.Endpoint
	for _, e := range m.config.Directory.Current().Service(s.name) {
		if !e.Leaving {
			listed = append(listed, e)
		}
	}
	n = min(len(listed), n)
	first := int(s.rotation.Add(uint64(n)) - uint64(n))
	chosen := make([]*directory.Endpoint, 0, n)
	for i := range n {
		chosen = append(chosen, listed[(first+i)%len(listed)])
	}
	return chosen
}

func (m *Monitor) lose(s *service, cause error) {
	if s.lost.Swap(true) {
		return
	}
	m.losses.Inc()
	s.lostSince.Store(m.since())
	m.config.Log.Warn().Str("service", s.name).Dur("silence_ms", time.Duration(m.since()-s.heardAt.Load())).
		Int64("waiting", s.waiting.Load()).AnErr("cause", cause).Msg("service lost: none of its endpoints can be reached")
	if m.config.OnLost != nil {
		m.config.OnLost(s.name)
	}
}

func (m *Monitor) found(s *service) {
	if s.lost.Swap(false) {
		m.config.Log.Info().Str("service", s.name).Dur("lost_ms", time.Duration(m.since()-s.lostSince.Load())).
			Msg("service regained: an endpoint can be reached")
	}
}
