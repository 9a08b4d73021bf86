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

// Service keeps a node's documents.
type Service struct {
	options Options
	meters  meters
	started time.Time

	mu       sync.RWMutex
	replicas map[string]*replica
	// group runs the replicas' goroutines while the service runs.
	group *errgroup.Group
	ctx   context.Context

	bootstrapped atomic.Bool
	cached       atomic.Pointer[peersCache]
	rounds       uint64
}

// New returns a service without documents and registers its peer methods. The
// transport must not have started.
func New(options Options) (*Service, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	s := &Service{
		options:  options.withDefaults(),
		meters:   newMeters(options.Metrics),
		started:  time.Now(),
		replicas: make(map[string]*replica),
	}
	s.handlePeers()
	return s, nil
}

// Register adds a document, before Run or while it runs.
func (s *Service) Register(spec Spec) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.replicas[spec.Name]; ok || spec.Name == "" {
		return fmt.Errorf("document: name %q is empty or registered twice", spec.Name)
	}
	r := newReplica(s, spec)
	s.replicas[spec.Name] = r
	if s.group != nil {
		s.start(r)
	}
	return nil
}

// Run keeps the documents up to date until the context ends. It may be called
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

// start runs a replica's goroutines; the lock is held.
func (s *Service) start(r *replica) {
	ctx := s.ctx
	s.group.Go(func() error { r.followHints(ctx); return nil })
	s.group.Go(func() error { r.supervise(ctx); return nil })
}

// context is the running service's, or one that never ends before Run.
func (s *Service) context() context.Context {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.ctx == nil {
		return context.Background()
	}
	return s.ctx
}

// Ready returns nil once every document that isn't optional has a version in
// force and the peers have been asked, else an error that names what is missing.
func (s *Service) Ready() error {
	if !s.bootstrapped.Load() {
		return fmt.Errorf("%w: peers not asked yet", ErrNotReady)
	}
	for _, r := range s.all() {
		if !r.spec.Optional && r.inForce.Load() == nil {
			return fmt.Errorf("%w: %s", ErrNotReady, r.spec.Name)
		}
	}
	return nil
}

// Current returns the version in force and its value, which must not be
// changed; ok is false if there is none.
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

// Conditions returns how the documents stand on this node, by name.
func (s *Service) Conditions() []Condition {
	var conditions []Condition
	for _, r := range s.all() {
		conditions = append(conditions, r.status())
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

// all returns the replicas by name.
func (s *Service) all() []*replica {
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

// peersCache is what was made of a membership snapshot.
type peersCache struct {
	snapshot *membership.Snapshot
	peers    peers
}

// peers returns the reachable nodes at this moment. They must not be changed.
func (s *Service) peers() peers {
	snapshot := s.options.Members.Current()
	if cached := s.cached.Load(); cached != nil && cached.snapshot == snapshot {
		return cached.peers
	}
	p := peersOf(snapshot, s.options.Transport.Self())
	s.cached.Store(&peersCache{snapshot: snapshot, peers: p})
	return p
}
