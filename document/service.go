package document

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/membership"
)

// Service replicates documents on a node.
type Service struct {
	options  Options
	counters counters
	started  time.Time

	mu       sync.RWMutex
	replicas map[string]*replica
	// group runs the replicas' goroutines; it is nil before Run.
	group *errgroup.Group
	ctx   context.Context

	bootstrapped atomic.Bool
	cached       atomic.Pointer[peersCache]
	comparisons  uint64
}

// New returns a service without documents and registers its peer methods. It must
// be called before the transport starts.
func New(options Options) (*Service, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	s := &Service{
		options:  options.withDefaults(),
		counters: newCounters(options.Metrics),
		started:  time.Now(),
		replicas: make(map[string]*replica),
	}
	s.registerHandlers()
	return s, nil
}

// Register adds a document. It may be called before or during Run.
func (s *Service) Register(spec Spec) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.replicas[spec.Name]; ok || spec.Name == "" {
		return fmt.Errorf("document: name %q is empty or already registered", spec.Name)
	}
	r := newReplica(s, spec)
	s.replicas[spec.Name] = r
	if s.group != nil {
		s.start(r)
	}
	return nil
}

// Run keeps the documents up to date until the context ends. It may be called only
// once.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.group, s.ctx = group, ctx
	for _, r := range s.replicas {
		s.start(r)
	}
	s.mu.Unlock()
	group.Go(func() error { return s.antiEntropy(ctx) })
	group.Go(func() error { <-ctx.Done(); return nil })
	return group.Wait()
}

// start starts a replica's goroutines. The caller must hold s.mu.
func (s *Service) start(r *replica) {
	ctx := s.ctx
	s.group.Go(func() error { r.processHints(ctx); return nil })
	s.group.Go(func() error { r.supervise(ctx); return nil })
}

// runContext returns the context of Run, or a background context before Run.
func (s *Service) runContext() context.Context {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.ctx == nil {
		return context.Background()
	}
	return s.ctx
}

// Ready returns nil once the initial query of the peers is complete and every
// required document has a version in force. Otherwise the error says what is missing.
func (s *Service) Ready() error {
	if !s.bootstrapped.Load() {
		return fmt.Errorf("%w: initial query of the peers is not complete", ErrNotReady)
	}
	for _, r := range s.sortedReplicas() {
		if !r.spec.Optional && r.inForce.Load() == nil {
			return fmt.Errorf("%w: %s", ErrNotReady, r.spec.Name)
		}
	}
	return nil
}

// Current returns the version in force and its value, which the caller must not
// modify. ok is false if no version is in force.
func (s *Service) Current(name string) (version Version, value Value, ok bool) {
	r, err := s.replica(name)
	if err != nil {
		return Version{}, Value{}, false
	}
	h := r.inForce.Load()
	if h == nil {
		return Version{}, Value{}, false
	}
	return h.version, h.content.value(), true
}

// Conditions returns the conditions of the documents on this node, sorted by name.
func (s *Service) Conditions() []Condition {
	var conditions []Condition
	for _, r := range s.sortedReplicas() {
		conditions = append(conditions, r.currentCondition())
	}
	return conditions
}

func (s *Service) replica(name string) (*replica, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.replicas[name]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownName, name)
	}
	return r, nil
}

// sortedReplicas returns the replicas sorted by document name.
func (s *Service) sortedReplicas() []*replica {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *replica) int {
		if a.spec.Name < b.spec.Name {
			return -1
		}
		return 1
	})
	return all
}

// peersCache has the peers derived from a membership snapshot.
type peersCache struct {
	snapshot *membership.Snapshot
	peers    peers
}

// peers returns the currently reachable nodes. The caller must not modify them.
func (s *Service) peers() peers {
	snapshot := s.options.Members.Current()
	if cached := s.cached.Load(); cached != nil && cached.snapshot == snapshot {
		return cached.peers
	}
	p := peersOf(snapshot, s.options.Transport.Self())
	s.cached.Store(&peersCache{snapshot: snapshot, peers: p})
	return p
}
