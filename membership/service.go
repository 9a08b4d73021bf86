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

// Service finds out who is alive, leaving or cut off, and tells the other nodes.
// See docs/design/membership.md.
type Service struct {
	options   Options
	self      domain.Member
	transport peer.Transport
	metrics   *serviceMetrics
	current   atomic.Pointer[Snapshot]
	// changed has a value when subscribers are to be told.
	changed chan struct{}
	// fresh has a value when there are changes to push.
	fresh   chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	table      *table
	broadcasts broadcasts
	delegation delegation
	detector   detector
	listing    listing
	sync       syncState
	own        ownState
	exchanges  exchanges
	// expired is when lives that are gone were last looked for.
	expired     time.Time
	subscribers map[int]func(*Snapshot)
	lastID      int
}

var _ View = (*Service)(nil)

// New returns a service and registers its handlers with the transport. Its
// snapshot holds the node itself and, as unreachable, the seeds, until Run has
// reached them.
func New(options Options) *Service {
	options = options.withDefaults()
	s := &Service{
		options:     options,
		self:        options.Transport.Self(),
		transport:   options.Transport,
		changed:     make(chan struct{}, 1),
		fresh:       make(chan struct{}, 1),
		random:      newRandom(options.RandomSeed),
		exchanges:   exchanges{running: make(map[domain.DataCentre]bool)},
		subscribers: make(map[int]func(*Snapshot)),
	}
	s.detector.probing = make(map[domain.NodeID]bool)
	s.table = firstTable(s.self, options.Seeds, time.Now())
	s.publish()
	s.metrics = newServiceMetrics(options.Metrics, s)
	s.handle()
	return s
}

// firstTable holds what a node knows at its start: itself and the seeds.
func firstTable(self domain.Member, seeds []hostlist.Host, now time.Time) *table {
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

// Subscribe calls f with the latest snapshot after it has changed, one call at a
// time, while Run runs; intermediate snapshots may be left out. The returned
// function ends the subscription.
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

// publish derives the delegation and the snapshot from the table. The lock is
// held, or the service is not yet shared.
func (s *Service) publish() {
	s.delegation = s.table.delegate(s.options.Delegates, s.delegation.up)
	peers := s.table.peers(s.delegation.up)
	if last := s.current.Load(); last != nil && slices.Equal(last.Peers, peers) {
		return
	}
	s.current.Store(&Snapshot{Self: s.self, Peers: peers})
	signal(s.changed)
}

// signal leaves a value in a channel of capacity one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run takes part in the membership until the context ends, and returns its error.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer cancel()
	s.running.Go(func() { s.notifyLoop(ctx) })
	s.running.Go(func() { s.pushLoop(ctx) })
	s.running.Go(func() { s.joinLoop(ctx) })
	s.running.Go(func() { s.listLoop(ctx) })
	s.tickLoop(ctx)
	return ctx.Err()
}

// tickLoop does the periodic work. The first tick comes at a random moment, so
// that nodes started together do not act together.
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

// tick starts what is due.
func (s *Service) tick(ctx context.Context, now time.Time) {
	for _, target := range s.dueProbes(now) {
		s.running.Go(func() { s.probe(ctx, target) })
	}
	for _, target := range s.dueChecks(now) {
		s.running.Go(func() { s.check(ctx, target) })
	}
	for _, dc := range s.dueExchanges(now) {
		s.running.Go(func() { s.exchange(ctx, dc) })
	}
	if from := s.dueSync(); from != nil {
		s.running.Go(func() { s.pullAll(ctx, *from) })
	}
	s.expire(now)
}

// notifyLoop tells the subscribers of changes.
func (s *Service) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-s.changed:
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

// jitter returns a random part of d.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d)))
}
