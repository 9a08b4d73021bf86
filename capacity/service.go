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

// Service is a node's part in sharing capacity: the client of its own requests,
// and the owner of those pools of its data centre that fall to it. It is safe
// for concurrent use.
type Service struct {
	options   Options
	transport peer.Transport
	self      domain.Member
	layout    atomic.Pointer[layout]
	// layoutMu is held while the layout and the cells change.
	layoutMu sync.Mutex
	// cells are the pool groups that this node owns; the map is replaced, never
	// changed.
	cells   atomic.Pointer[map[groupName]*cell]
	links   linkTable
	lastID  atomic.Uint64
	leaving leavingSet
	quotes  quoteCache
	counts  serviceCounts
	// changed has a value when the layout has changed.
	changed chan struct{}
	base    context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	// tasksMu keeps tasks from beginning after the end.
	tasksMu sync.Mutex
}

var _ Client = (*Service)(nil)

// cell is an owner with its lock.
type cell struct {
	mu    sync.Mutex
	owner *owner
	// collecting is true while holders are asked for what they hold.
	collecting bool
	// lost is true once this node does not own the group any more.
	lost bool
}

// New registers the service's handlers with the transport, which must not have
// started, and returns the service. Run must be called for it to work.
func New(options Options) *Service {
	s := &Service{
		options:   options.withDefaults(),
		transport: options.Transport,
		self:      options.Transport.Self(),
		changed:   make(chan struct{}, 1),
	}
	s.base, s.stop = context.WithCancel(context.Background())
	s.cells.Store(&map[groupName]*cell{})
	s.links.links = make(map[linkKey]*link)
	s.leaving.endpoints = make(map[domain.EndpointID]struct{})
	s.quotes.quotes = make(map[quoteKey]cachedQuotes)
	s.handle()
	s.register()
	return s
}

// Run does the service's periodic work until the context ends, then ends what it
// has begun.
func (s *Service) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	defer s.end()
	tick := time.NewTicker(s.options.Tick)
	defer tick.Stop()
	renew := time.NewTicker(s.options.RenewEvery)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
			s.rehome()
		case <-tick.C:
			s.tick()
		case <-renew.C:
			s.renew()
		}
	}
}

// tick looks for changes of the layout and gives every owner its tick.
func (s *Service) tick() {
	s.current()
	for _, c := range *s.cells.Load() {
		out, overslept := c.tick()
		s.deliver(out)
		if overslept {
			s.collect(c)
		}
	}
}

// tick gives the owner its tick. If ticks have been missed for long, the owner
// grants nothing until the holders have been asked again.
func (c *cell) tick() (out []outgoing, overslept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return nil, false
	}
	now := time.Now()
	overslept = c.owner.overslept(now)
	if overslept {
		c.owner.unsettle()
	}
	c.owner.tick(now)
	return c.owner.takeOut(), overslept
}

// current returns the layout in force, computed anew if the configuration or the
// members have changed.
func (s *Service) current() *layout {
	l := s.layout.Load()
	if l != nil && l.config == s.options.Config.Current() && l.members == s.options.Membership.Current() {
		return l
	}
	return s.refresh()
}

// refresh computes the layout and brings the cells in line with it. What that
// sends is sent after the lock is given up.
func (s *Service) refresh() *layout {
	l, out, begun := s.advance()
	s.deliver(out)
	for _, c := range begun {
		s.collect(c)
	}
	return l
}

// advance puts a new layout in force. It returns it with the rulings to send and
// the cells that have begun.
func (s *Service) advance() (*layout, []outgoing, []*cell) {
	s.layoutMu.Lock()
	defer s.layoutMu.Unlock()
	old := s.layout.Load()
	c, m := s.options.Config.Current(), s.options.Membership.Current()
	if old != nil && old.config == c && old.members == m {
		return old, nil, nil
	}
	l := nextLayout(old, c, m)
	s.layout.Store(l)
	out, begun := s.own(l)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return l, out, begun
}

// own brings the cells in line with the layout.
func (s *Service) own(l *layout) (out []outgoing, begun []*cell) {
	before := *s.cells.Load()
	after := make(map[groupName]*cell)
	for _, name := range s.ownedGroups(l) {
		c, ok := before[name]
		if !ok {
			c = &cell{owner: newOwner(&s.options, name, s.self.DataCentre)}
			begun = append(begun, c)
		}
		after[name] = c
		out = append(out, c.configure(l)...)
	}
	for name, c := range before {
		if _, kept := after[name]; !kept {
			c.lose()
		}
	}
	s.cells.Store(&after)
	return out, begun
}

// ownedGroups returns the pool groups that fall to this node, sorted.
func (s *Service) ownedGroups(l *layout) []groupName {
	centre, ok := l.centres[s.self.DataCentre]
	if !ok {
		return nil
	}
	var names []groupName
	for name := range centre.groups {
		if owner, ok := l.owner(s.self.DataCentre, name); ok && owner.SameIncarnation(s.self) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// configure hands a layout to the owner.
func (c *cell) configure(l *layout) []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.config != l.config {
		c.owner.configure(time.Now(), l)
	}
	c.owner.ended(l.over)
	return c.owner.takeOut()
}

// lose marks the cell as no longer owned, for those who have it in hand.
func (c *cell) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}

// cell returns the owner of a pool, if it is this node.
func (s *Service) cell(l *layout, name domain.PoolName) *cell {
	centre, ok := l.centres[s.self.DataCentre]
	if !ok {
		return nil
	}
	return (*s.cells.Load())[centre.groupOf[name]]
}

// withOwner calls f with the owner of a pool, under its lock, and sends what it
// put out. If this node is not the owner it returns false.
func (s *Service) withOwner(name domain.PoolName, f func(now time.Time, o *owner, p *pool)) bool {
	c := s.cell(s.current(), name)
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

// do calls f under the lock. It returns what was put out, whether this node owns
// the pool, and whether the holders are to be asked again.
func (c *cell) do(name domain.PoolName, f func(now time.Time, o *owner, p *pool)) (out []outgoing, owned, again bool) {
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

// deliver sends rulings to their holders. A lost one is noticed by the next
// renewal.
func (s *Service) deliver(out []outgoing) {
	for len(out) > 0 {
		n := sameReceiver(out)
		s.sendNotice(out[0].to, noticeOf(out[:n]))
		out = out[n:]
	}
}

// sameReceiver counts the rulings at the head that go together.
func sameReceiver(out []outgoing) int {
	n := 1
	for n < len(out) && out[n].to.SameIncarnation(out[0].to) && out[n].pool == out[0].pool {
		n++
	}
	return n
}

func noticeOf(out []outgoing) notice {
	rulings := make([]ruling, len(out))
	for i := range out {
		rulings[i] = out[i].ruling
	}
	return notice{Pool: out[0].pool, Rulings: rulings}
}

func (s *Service) sendNotice(to domain.Member, n notice) {
	if to.SameIncarnation(s.self) {
		s.noticed(s.self, n)
		return
	}
	if err := peer.Send(s.base, s.transport, to, methodNotice, n); err != nil {
		s.options.Logger.Debug().Err(err).Stringer("to", to).Msg("capacity: notice not sent")
	}
}

// end lets no more background work begin, and stops what there is.
func (s *Service) end() {
	s.tasksMu.Lock()
	defer s.tasksMu.Unlock()
	s.stop()
}

// background runs f until the service ends.
func (s *Service) background(f func(ctx context.Context)) {
	s.tasksMu.Lock()
	defer s.tasksMu.Unlock()
	if s.base.Err() != nil {
		return
	}
	s.tasks.Go(func() { f(s.base) })
}

// Owned returns the endpoints of the pools that this node owns, sorted.
// The node reads these endpoints' reports and hands them on by Report and
// CacheEvents.
func (s *Service) Owned() []domain.EndpointID {
	s.current()
	var owned []domain.EndpointID
	for _, c := range *s.cells.Load() {
		c.mu.Lock()
		for id := range maps.Keys(c.owner.places) {
			owned = append(owned, id)
		}
		c.mu.Unlock()
	}
	slices.Sort(owned)
	return owned
}
