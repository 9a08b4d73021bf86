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

// testCluster is a set of services on an in-memory network in virtual time.
type testCluster struct {
	t         testing.TB
	network   *peertest.Network
	hostList  *fakeHostList
	nodes     map[domain.NodeID]*testNode
	order     []domain.NodeID
	configure func(*Options)
}

// testNode is one incarnation of a node.
type testNode struct {
	*Service
	stop func()
}

// fakeHostList is a host list whose content tests set.
type fakeHostList struct {
	mu    sync.Mutex
	hosts map[domain.NodeID]hostlist.Host
	err   error
	reads int
}

func (l *fakeHostList) List(context.Context) ([]hostlist.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	var hosts []hostlist.Host
	for _, host := range l.hosts {
		hosts = append(hosts, host)
	}
	return hosts, l.err
}

func (l *fakeHostList) set(host hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host.Node] = host
}

func (l *fakeHostList) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

func (l *fakeHostList) remove(nodes ...domain.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, node := range nodes {
		delete(l.hosts, node)
	}
}

// nodeID returns the ID of the i-th node of a data centre, dcID that of the i-th
// data centre.
func nodeID(dc domain.DataCentre, i int) domain.NodeID {
	return domain.NodeID(fmt.Sprintf("%s-%02d", dc, i))
}

func dcID(i int) domain.DataCentre { return domain.DataCentre(fmt.Sprintf("dc%02d", i)) }

func memberOf(dc domain.DataCentre, i int, incarnation domain.Incarnation) domain.Member {
	return domain.Member{Node: nodeID(dc, i), Incarnation: incarnation, DataCentre: dc, Address: "10.0.0.1:7000"}
}

func hostOf(m domain.Member) hostlist.Host {
	return hostlist.Host{Node: m.Node, Address: m.Address, DataCentre: m.DataCentre, State: hostlist.StateLive}
}

// withTestCluster runs f in virtual time with a settled cluster of dcs data
// centres of size nodes each.
func withTestCluster(t *testing.T, dcs, size int, configure func(*Options), f func(t *testing.T, x *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newTestCluster(t, configure)
		defer x.close()
		x.startAll(dcs, size)
		x.awaitSettled()
		f(t, x)
	})
}

func newTestCluster(t testing.TB, configure func(*Options)) *testCluster {
	return &testCluster{
		t:         t,
		network:   peertest.NewNetwork(),
		hostList:  &fakeHostList{hosts: make(map[domain.NodeID]hostlist.Host)},
		nodes:     make(map[domain.NodeID]*testNode),
		configure: configure,
	}
}

// startAll lists all hosts and starts their nodes.
func (x *testCluster) startAll(dcs, size int) {
	for d := range dcs {
		for i := range size {
			x.hostList.set(hostOf(memberOf(dcID(d), i, 1)))
		}
	}
	for d := range dcs {
		for i := range size {
			x.start(memberOf(dcID(d), i, 1))
		}
	}
}

// start runs an incarnation until its stop function is called.
func (x *testCluster) start(m domain.Member) *testNode {
	options := Options{
		Transport:  x.network.Node(m),
		HostList:   x.hostList,
		RandomSeed: uint64(len(x.order))*1000 + uint64(m.Incarnation),
		Logger:     zerolog.Nop(),
	}
	if x.configure != nil {
		x.configure(&options)
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

// crash stops a node without an announcement.
func (x *testCluster) crash(node domain.NodeID) {
	x.network.Crash(node)
	x.nodes[node].stop()
	delete(x.nodes, node)
	x.order = slices.DeleteFunc(x.order, func(o domain.NodeID) bool { return o == node })
}

func (x *testCluster) close() {
	x.network.Close()
	for _, n := range x.nodes {
		n.stop()
	}
}

// awaitSettled waits until every node sees every other as alive, and then until
// no changes are being disseminated.
func (x *testCluster) awaitSettled() {
	x.t.Helper()
	x.within(time.Minute, "settled", func() bool { return x.all(x.order, x.order, StatusAlive) })
	time.Sleep(settlePeriod + syncQuietPeriod)
}

// status returns the status of a node in a viewer's snapshot.
func (x *testCluster) status(viewer, of domain.NodeID) (Status, bool) {
	p, ok := x.nodes[viewer].Current().Peer(of)
	return p.Status, ok && p.Incarnation != 0
}

// all reports whether all viewers see all the given nodes with the status.
func (x *testCluster) all(viewers, of []domain.NodeID, status Status) bool {
	for _, viewer := range viewers {
		for _, node := range of {
			if got, ok := x.status(viewer, node); !ok || got != status {
				return false
			}
		}
	}
	return true
}

// count returns the number of viewers that see a node with the status.
func (x *testCluster) count(viewers []domain.NodeID, of domain.NodeID, status Status) int {
	n := 0
	for _, viewer := range viewers {
		if got, _ := x.status(viewer, of); got == status {
			n++
		}
	}
	return n
}

// within waits in virtual time for a condition and returns how long it took.
func (x *testCluster) within(limit time.Duration, what string, condition func() bool) time.Duration {
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

// throughout checks in virtual time that a condition holds for the duration.
func (x *testCluster) throughout(d time.Duration, what string, condition func() bool) {
	x.t.Helper()
	for start := time.Now(); time.Since(start) < d; time.Sleep(250 * time.Millisecond) {
		synctest.Wait()
		assert.Assert(x.t, condition(), "%s: broken after %s", what, time.Since(start))
	}
}

// countNotAlive counts the viewers' published snapshots in which one of the nodes
// is not alive.
func (x *testCluster) countNotAlive(viewers, of []domain.NodeID) *atomic.Int32 {
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

// nodesIn returns the nodes of a data centre.
func (x *testCluster) nodesIn(dc int) []domain.NodeID {
	var group []domain.NodeID
	for _, node := range x.order {
		if x.nodes[node].self.DataCentre == dcID(dc) {
			group = append(group, node)
		}
	}
	return group
}

// keyCounter counts the occurrences of each key.
type keyCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func newKeyCounter() *keyCounter { return &keyCounter{counts: make(map[string]int)} }

func (c *keyCounter) next(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
	return c.counts[key]
}

// disconnectedTransport fails every call with peer.ErrNotSent.
type disconnectedTransport struct{ self domain.Member }

func (t disconnectedTransport) Self() domain.Member              { return t.self }
func (t disconnectedTransport) Handle(peer.Method, peer.Handler) {}
func (t disconnectedTransport) Call(context.Context, domain.Member, peer.Method, []byte) ([]byte, error) {
	return nil, peer.ErrNotSent
}
func (t disconnectedTransport) Send(context.Context, domain.Member, peer.Method, []byte) error {
	return peer.ErrNotSent
}
