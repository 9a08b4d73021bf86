package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// fleet is a set of services on an in-memory network in virtual time.
type fleet struct {
	t       testing.TB
	network *peertest.Network
	list    *fakeList
	nodes   map[domain.NodeID]*testNode
	order   []domain.NodeID
	change  func(*Options)
}

// testNode is one life of a node.
type testNode struct {
	*Service
	stop func()
}

// fakeList is a host list that tests set.
type fakeList struct {
	mu    sync.Mutex
	hosts map[domain.NodeID]hostlist.Host
	err   error
	reads int
}

func (l *fakeList) List(context.Context) ([]hostlist.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	var hosts []hostlist.Host
	for _, host := range l.hosts {
		hosts = append(hosts, host)
	}
	return hosts, l.err
}

func (l *fakeList) set(host hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host.Node] = host
}

func (l *fakeList) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

func (l *fakeList) remove(nodes ...domain.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, node := range nodes {
		delete(l.hosts, node)
	}
}

// nodeID names the i-th node of a data centre, dcID the i-th data centre.
func nodeID(dc domain.DataCentre, i int) domain.NodeID {
	return domain.NodeID(fmt.Sprintf("%s-%02d", dc, i))
}

func dcID(i int) domain.DataCentre { return domain.DataCentre(fmt.Sprintf("dc%02d", i)) }

func lifeOf(dc domain.DataCentre, i int, incarnation domain.Incarnation) domain.Member {
	return domain.Member{Node: nodeID(dc, i), Incarnation: incarnation, DataCentre: dc, Address: "10.0.0.1:7000"}
}

func hostOf(m domain.Member) hostlist.Host {
	return hostlist.Host{Node: m.Node, Address: m.Address, DataCentre: m.DataCentre, State: hostlist.StateLive}
}

// inBubble runs f in virtual time with a fleet of dcs data centres of size nodes,
// which have settled.
func inBubble(t *testing.T, dcs, size int, change func(*Options), f func(t *testing.T, x *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newFleet(t, change)
		defer x.close()
		x.grow(dcs, size)
		x.settle()
		f(t, x)
	})
}

func newFleet(t testing.TB, change func(*Options)) *fleet {
	return &fleet{
		t:       t,
		network: peertest.NewNetwork(),
		list:    &fakeList{hosts: make(map[domain.NodeID]hostlist.Host)},
		nodes:   make(map[domain.NodeID]*testNode),
		change:  change,
	}
}

// grow lists all hosts and starts their nodes.
func (x *fleet) grow(dcs, size int) {
	for d := range dcs {
		for i := range size {
			x.list.set(hostOf(lifeOf(dcID(d), i, 1)))
		}
	}
	for d := range dcs {
		for i := range size {
			x.start(lifeOf(dcID(d), i, 1))
		}
	}
}

// start runs a life until it is stopped.
func (x *fleet) start(m domain.Member) *testNode {
	options := Options{
		Transport:  x.network.Node(m),
		HostList:   x.list,
		RandomSeed: uint64(len(x.order))*1000 + uint64(m.Incarnation),
		Logger:     zerolog.Nop(),
	}
	if x.change != nil {
		x.change(&options)
	}
	s := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	n := &testNode{s, func() { cancel(); <-done }}
	if x.nodes[m.Node] == nil {
		x.order = append(x.order, m.Node)
	}
	x.nodes[m.Node] = n
	return n
}

// crash ends a node without a word.
func (x *fleet) crash(node domain.NodeID) {
	x.network.Crash(node)
	x.nodes[node].stop()
	delete(x.nodes, node)
	x.order = slices.DeleteFunc(x.order, func(o domain.NodeID) bool { return o == node })
}

func (x *fleet) close() {
	x.network.Close()
	for _, n := range x.nodes {
		n.stop()
	}
}

// settle waits until all see all as alive, and then until nothing is passed on any
// more.
func (x *fleet) settle() {
	x.t.Helper()
	x.within(time.Minute, "settled", func() bool { return x.all(x.order, x.order, StatusAlive) })
	time.Sleep(settleTime + syncQuiet)
}

// status returns what a viewer believes of a node.
func (x *fleet) status(viewer, of domain.NodeID) (Status, bool) {
	p, ok := x.nodes[viewer].Current().Peer(of)
	return p.Status, ok && p.Incarnation != 0
}

// all reports whether all viewers hold all the nodes to be as given.
func (x *fleet) all(viewers, of []domain.NodeID, status Status) bool {
	for _, viewer := range viewers {
		for _, node := range of {
			if got, ok := x.status(viewer, node); !ok || got != status {
				return false
			}
		}
	}
	return true
}

// count returns how many viewers hold a node to be as given.
func (x *fleet) count(viewers []domain.NodeID, of domain.NodeID, status Status) int {
	n := 0
	for _, viewer := range viewers {
		if got, _ := x.status(viewer, of); got == status {
			n++
		}
	}
	return n
}

// within waits in virtual time for a condition and returns how long it took.
func (x *fleet) within(limit time.Duration, what string, condition func() bool) time.Duration {
	x.t.Helper()
	start := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return time.Since(start)
		}
		if time.Since(start) >= limit {
			x.t.Fatalf("not %s within %s", what, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// throughout checks in virtual time that a condition holds for a while.
func (x *fleet) throughout(d time.Duration, what string, condition func() bool) {
	x.t.Helper()
	for start := time.Now(); time.Since(start) < d; time.Sleep(250 * time.Millisecond) {
		synctest.Wait()
		assert.Assert(x.t, condition(), "%s: broken after %s", what, time.Since(start))
	}
}

// watch counts the snapshots of the viewers in which one of the nodes is not alive.
func (x *fleet) watch(viewers, of []domain.NodeID) *atomic.Int32 {
	seen := new(atomic.Int32)
	for _, viewer := range viewers {
		x.nodes[viewer].Subscribe(func(s *Snapshot) {
			for _, node := range of {
				if p, _ := s.Peer(node); p.Status != StatusAlive {
					seen.Add(1)
				}
			}
		})
	}
	return seen
}

// group returns the nodes of a data centre.
func (x *fleet) group(dc int) []domain.NodeID {
	var group []domain.NodeID
	for _, node := range x.order {
		if x.nodes[node].self.DataCentre == dcID(dc) {
			group = append(group, node)
		}
	}
	return group
}

// counter numbers the occurrences of keys.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCounter() *counter { return &counter{counts: make(map[string]int)} }

func (c *counter) next(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
	return c.counts[key]
}

// silentTransport goes nowhere.
type silentTransport struct{ self domain.Member }

func (t silentTransport) Self() domain.Member              { return t.self }
func (t silentTransport) Handle(peer.Method, peer.Handler) {}
func (t silentTransport) Call(context.Context, domain.Member, peer.Method, []byte) ([]byte, error) {
	return nil, peer.ErrNotSent
}
func (t silentTransport) Send(context.Context, domain.Member, peer.Method, []byte) error {
	return peer.ErrNotSent
}
