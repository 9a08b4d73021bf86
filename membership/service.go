package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// Service determines which nodes are alive, leaving or unreachable, and
// disseminates this to the other nodes. See docs/design/membership.md.
type Service struct {
	options   Options
	self      domain.Member
	transport peer.Transport
	metrics   *serviceMetrics
	current   atomic.Pointer[Snapshot]
	// snapshotChanged has a value when subscribers are to be notified.
	snapshotChanged chan struct{}
	// pushPending has a value when there are changes to push.
	pushPending chan struct{}
	running     sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	table      *table
	broadcasts broadcasts
	delegation delegation
	detector   detector
	hostList   hostListState
	sync       syncState
	local      localState
	exchanges  exchangeState
	// lastExpiry is when members that are gone were last removed.
	lastExpiry  time.Time
	subscribers map[int]func(*Snapshot)
	lastID      int
}

var _ View = (*Service)(nil)

// New returns a service and registers its handlers with the transport. Until Run
// has reached other nodes, its snapshot holds the node itself and, as
// unreachable, the seeds.
func New(options Options) *Service {
	options = options.withDefaults()
	s := &Service{
		options:         options,
		self:            options.Transport.Self(),
		transport:       options.Transport,
		snapshotChanged: make(chan struct{}, 1),
		pushPending:     make(chan struct{}, 1),
		random:          newRandom(options.RandomSeed),
		exchanges:       exchangeState{running: make(map[domain.DataCentre]bool)},
		subscribers:     make(map[int]func(*Snapshot)),
	}
	s.detector.probing = make(map[domain.NodeID]bool)
	s.detector.rechecks = s.random.IntN(maxRecheckStart)
	s.table = newInitialTable(s.self, options.Seeds, time.Now())
	s.publish()
	s.metrics = newServiceMetrics(options.Metrics, s)
	s.handle()
	return s
}

// newInitialTable returns a table with the node itself and the seeds.
func newInitialTable(self domain.Member, seeds []hostlist.Host, now time.Time) *table {
	t := newTable(self.DataCentre)
	t.insert(newRecord(self, 0, intentServing), now)
	for _, seed := range seeds {
		if seed.Node != self.Node {
			t.merge(listedRecord(seed, 0), now)
		}
	}
	return t
}

func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// Current returns the latest snapshot without locking.
func (s *Service) Current() *Snapshot { return s.current.Load() }

// Subscribe registers f to be called with the latest snapshot after each change
// while Run runs. Calls are sequential, and intermediate snapshots may be
// skipped. The returned function ends the subscription.
func (s *Service) Subscribe(f func(*Snapshot)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id := s.lastID
	s.subscribers[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// publish derives the delegation and the snapshot from the table. The caller
// holds the lock, or the service is not shared yet.
func (s *Service) publish() {
	s.delegation = s.table.deriveDelegation(s.options.Delegates, s.delegation.reachable)
	peers := s.table.peers(s.delegation.reachable)
	if last := s.current.Load(); last != nil && slices.Equal(last.Peers, peers) {
		return
	}
	s.current.Store(&Snapshot{Self: s.self, Peers: peers})
	signal(s.snapshotChanged)
}

// signal sends to a channel of capacity one without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run participates in the membership until the context ends, and returns its
// error.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer cancel()
	s.running.Go(func() { s.notifyLoop(ctx) })
	s.running.Go(func() { s.pushLoop(ctx) })
	s.running.Go(func() { s.joinLoop(ctx) })
	s.running.Go(func() { s.hostListLoop(ctx) })
	s.tickLoop(ctx)
	return ctx.Err()
}

// tickLoop runs the periodic work. The first tick is delayed at random, so that
// nodes started together do not act in step.
func (s *Service) tickLoop(ctx context.Context) {
	if !pacing.Sleep(ctx, s.jitter(s.options.ProbeInterval)) {
		return
	}
	ticker := time.NewTicker(s.options.ProbeInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick starts the work that is due.
func (s *Service) tick(ctx context.Context, now time.Time) {
	for _, target := range s.dueProbes(now) {
		s.running.Go(func() { s.probe(ctx, target) })
	}
	for _, target := range s.dueRechecks(now) {
		s.running.Go(func() { s.recheck(ctx, target) })
	}
	for _, dc := range s.dueExchanges(now) {
		s.running.Go(func() { s.exchange(ctx, dc) })
	}
	if from := s.dueSyncSource(); from != nil {
		s.running.Go(func() { s.pullAll(ctx, *from) })
	}
	s.expire(now)
}

// notifyLoop notifies the subscribers of changes.
func (s *Service) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-s.snapshotChanged:
			s.notify()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) notify() {
	s.mu.Lock()
	subscribers := make([]func(*Snapshot), 0, len(s.subscribers))
	for _, f := range s.subscribers {
		subscribers = append(subscribers, f)
	}
	s.mu.Unlock()
	for _, f := range subscribers {
		f(s.Current())
	}
}

// jitter returns a random duration below d.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d)))
}
