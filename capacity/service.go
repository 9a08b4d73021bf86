package capacity

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Service is a node's part in sharing capacity: the client for its own requests, and
// the owner of those pools of its data centre that are assigned to it. It is safe for
// concurrent use.
type Service struct {
	options   Options
	transport peer.Transport
	self      domain.Member
	layout    atomic.Pointer[layout]
	// layoutMu is held while the layout and the owners change.
	layoutMu sync.Mutex
	// owners are the pool groups that this node owns; the map is replaced, never
	// modified.
	owners  atomic.Pointer[map[poolGroup]*lockedOwner]
	links   linkTable
	lastID  atomic.Uint64
	leaving leavingSet
	quotes  quoteCache
	counts  serviceCounts
	// layoutChanged receives a value when the layout has changed.
	layoutChanged chan struct{}
	base          context.Context
	stop          context.CancelFunc
	tasks         sync.WaitGroup
	// tasksMu prevents tasks from starting after shutdown.
	tasksMu sync.Mutex
}

var _ Client = (*Service)(nil)

// lockedOwner is an owner with its lock.
type lockedOwner struct {
	mu    sync.Mutex
	owner *owner
	// isCollecting is true while holders are asked for what they hold.
	isCollecting bool
	// lost is true once this node no longer owns the group.
	lost bool
}

// New returns a service and registers its handlers with the transport, which must not
// have started. Run must be called for the service to work.
func New(options Options) *Service {
	s := &Service{
		options:       options.withDefaults(),
		transport:     options.Transport,
		self:          options.Transport.Self(),
		layoutChanged: make(chan struct{}, 1),
	}
	s.base, s.stop = context.WithCancel(context.Background())
	s.owners.Store(&map[poolGroup]*lockedOwner{})
	s.links.links = make(map[linkKey]*link)
	s.leaving.endpoints = make(map[domain.EndpointID]struct{})
	s.quotes.quotes = make(map[quoteKey]cachedQuotes)
	s.registerHandlers()
	s.registerMetrics()
	return s
}

// Run does the service's periodic work until the context ends, then stops its
// background tasks.
func (s *Service) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	defer s.shutDown()
	tick := time.NewTicker(s.options.Tick)
	defer tick.Stop()
	renew := time.NewTicker(s.options.RenewInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.layoutChanged:
			s.registerWithNewOwners()
		case <-tick.C:
			s.tick()
		case <-renew.C:
			s.renew()
		}
	}
}

// tick checks for changes of the layout and calls every owner's tick.
func (s *Service) tick() {
	s.currentLayout()
	for _, c := range *s.owners.Load() {
		out, missed := c.tick()
		s.deliver(out)
		if missed {
			s.collect(c)
		}
	}
}

// tick calls the owner's tick. If ticks were missed for long, the owner grants nothing
// until the holders have been asked again.
func (c *lockedOwner) tick() (out []outgoing, missed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return nil, false
	}
	now := time.Now()
	missed = c.owner.missedTicks(now)
	if missed {
		c.owner.resetSettled()
	}
	c.owner.tick(now)
	return c.owner.takeOut(), missed
}

// currentLayout returns the layout, recomputed if the configuration or the members have
// changed.
func (s *Service) currentLayout() *layout {
	l := s.layout.Load()
	if l != nil && l.config == s.options.Config.Current() && l.members == s.options.Membership.Current() {
		return l
	}
	return s.refreshLayout()
}

// refreshLayout recomputes the layout and updates the owners. The resulting messages
// are sent after the lock is released.
func (s *Service) refreshLayout() *layout {
	l, out, started := s.updateLayout()
	s.deliver(out)
	for _, c := range started {
		s.collect(c)
	}
	return l
}

// updateLayout applies a new layout. It returns it with the decisions to send and the
// owners that were started.
func (s *Service) updateLayout() (*layout, []outgoing, []*lockedOwner) {
	s.layoutMu.Lock()
	defer s.layoutMu.Unlock()
	old := s.layout.Load()
	c, m := s.options.Config.Current(), s.options.Membership.Current()
	if old != nil && old.config == c && old.members == m {
		return old, nil, nil
	}
	l := nextLayout(old, c, m)
	s.layout.Store(l)
	out, started := s.updateOwners(l)
	select {
	case s.layoutChanged <- struct{}{}:
	default:
	}
	return l, out, started
}

// updateOwners starts, configures and stops owners according to the layout.
func (s *Service) updateOwners(l *layout) (out []outgoing, started []*lockedOwner) {
	before := *s.owners.Load()
	after := make(map[poolGroup]*lockedOwner)
	for _, name := range s.ownedGroups(l) {
		c, ok := before[name]
		if !ok {
			c = &lockedOwner{owner: newOwner(&s.options, name, s.self.DataCentre)}
			started = append(started, c)
		}
		after[name] = c
		out = append(out, c.configure(l)...)
	}
	for name, c := range before {
		if _, kept := after[name]; !kept {
			c.markLost()
		}
	}
	s.owners.Store(&after)
	return out, started
}

// ownedGroups returns the pool groups that this node owns, sorted.
func (s *Service) ownedGroups(l *layout) []poolGroup {
	centre, ok := l.dataCentres[s.self.DataCentre]
	if !ok {
		return nil
	}
	var names []poolGroup
	for name := range centre.groups {
		if owner, ok := l.owner(s.self.DataCentre, name); ok && owner.SameIncarnation(s.self) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// configure applies a layout to the owner.
func (c *lockedOwner) configure(l *layout) []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.config != l.config {
		c.owner.configure(time.Now(), l)
	}
	c.owner.dropEndedRequests(l.hasEnded)
	return c.owner.takeOut()
}

// markLost marks the group as no longer owned, for callers that still hold a reference.
func (c *lockedOwner) markLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}

// ownerOf returns the owner of a pool if it is this node, and nil otherwise.
func (s *Service) ownerOf(l *layout, name domain.PoolName) *lockedOwner {
	centre, ok := l.dataCentres[s.self.DataCentre]
	if !ok {
		return nil
	}
	return (*s.owners.Load())[centre.groupOf[name]]
}

// withOwner calls f with the owner of a pool, under its lock, and sends the decisions
// that result. It returns false if this node is not the owner.
func (s *Service) withOwner(name domain.PoolName, f func(now time.Time, o *owner, p *pool)) bool {
	c := s.ownerOf(s.currentLayout(), name)
	if c == nil {
		return false
	}
	out, ok, again := c.do(name, f)
	s.deliver(out)
	if again {
		s.collect(c)
	}
	return ok
}

// do calls f under the lock. It returns the decisions to send, whether this node owns
// the pool, and whether the holders must be asked again.
func (c *lockedOwner) do(name domain.PoolName, f func(now time.Time, o *owner, p *pool)) (out []outgoing, owned, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.owner.pools[name]
	if !ok || c.lost {
		return nil, false, false
	}
	f(time.Now(), c.owner, p)
	again = c.owner.collectAgain
	c.owner.collectAgain = false
	return c.owner.takeOut(), true, again
}

// deliver sends decisions to their holders. The next renewal makes up for a lost one.
func (s *Service) deliver(out []outgoing) {
	for len(out) > 0 {
		n := countSameRecipient(out)
		s.sendNotice(out[0].to, noticeOf(out[:n]))
		out = out[n:]
	}
}

// countSameRecipient counts the leading decisions for the same holder and pool.
func countSameRecipient(out []outgoing) int {
	n := 1
	for n < len(out) && out[n].to.SameIncarnation(out[0].to) && out[n].pool == out[0].pool {
		n++
	}
	return n
}

func noticeOf(out []outgoing) notice {
	decisions := make([]decision, len(out))
	for i := range out {
		decisions[i] = out[i].decision
	}
	return notice{Pool: out[0].pool, Decisions: decisions}
}

func (s *Service) sendNotice(to domain.Member, n notice) {
	if to.SameIncarnation(s.self) {
		s.handleNotice(s.self, n)
		return
	}
	if err := peer.Send(s.base, s.transport, to, methodNotice, n); err != nil {
		s.options.Logger.Debug().Err(err).Stringer("to", to).Msg("capacity: notice not sent")
	}
}

// shutDown prevents new background tasks and cancels the running ones.
func (s *Service) shutDown() {
	s.tasksMu.Lock()
	defer s.tasksMu.Unlock()
	s.stop()
}

// background runs f in a task whose context ends with the service.
func (s *Service) background(f func(ctx context.Context)) {
	s.tasksMu.Lock()
	defer s.tasksMu.Unlock()
	if s.base.Err() != nil {
		return
	}
	s.tasks.Go(func() { f(s.base) })
}

// Owned returns the endpoints of the pools that this node owns, sorted. The node reads
// these endpoints' reports and forwards them through Report and CacheEvents.
func (s *Service) Owned() []domain.EndpointID {
	s.currentLayout()
	var owned []domain.EndpointID
	for _, c := range *s.owners.Load() {
		c.mu.Lock()
		for id := range maps.Keys(c.owner.endpoints) {
			owned = append(owned, id)
		}
		c.mu.Unlock()
	}
	slices.Sort(owned)
	return owned
}
