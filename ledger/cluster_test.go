package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

const testDataCentre = domain.DataCentre("palermo")

// cluster is a data centre of replicas on an in-memory network and store.
type cluster struct {
	t       reporter
	network *peertest.Network
	store   *memstore.Store
	options Options

	mu         sync.Mutex
	nodes      map[domain.NodeID]*testNode
	markedGone map[domain.Member]bool
	table      *Table
	watchers   map[int]func(domain.DataCentre)
	// heldTables are the nodes that do not see new tables until released, with the
	// table that they keep.
	heldTables map[domain.NodeID]*Table
	serial     int
	invariants *invariants
}

// reporter is the common interface of *testing.T and *rapid.T.
type reporter interface {
	Helper()
	Fail()
	FailNow()
	Log(args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// testNode is one incarnation of a node.
type testNode struct {
	*Replica
	cluster *cluster
	member  domain.Member
	editor  *TableStore
	stop    context.CancelFunc
	done    chan struct{}
	crashed atomic.Bool
}

// setUp initialises an empty cluster.
func (c *cluster) setUp(t reporter) {
	c.t = t
	c.network = peertest.NewNetwork()
	c.store = memstore.New(memstore.Options{})
	c.nodes = make(map[domain.NodeID]*testNode)
	c.markedGone = make(map[domain.Member]bool)
	c.watchers = make(map[int]func(domain.DataCentre))
	c.heldTables = make(map[domain.NodeID]*Table)
	c.invariants = newInvariants()
}

func newCluster(t reporter, size int) *cluster {
	c := &cluster{}
	c.setUp(t)
	c.network.SetDelay(func(_, _ domain.Member) time.Duration { return time.Millisecond })
	for i := range size {
		c.start(nodeName(i), testDataCentre)
	}
	c.waitSettled()
	return c
}

func nodeName(i int) domain.NodeID { return domain.NodeID(fmt.Sprintf("host-%02d", i)) }

// start starts a new incarnation of a node, which joins the table of its data centre.
func (c *cluster) start(id domain.NodeID, dataCentre domain.DataCentre) *testNode {
	n := c.startOutside(id, dataCentre)
	if dataCentre == testDataCentre {
		c.edit(n, Join(n.member))
	}
	return n
}

// startOutside starts a new incarnation of a node that does not join.
func (c *cluster) startOutside(id domain.NodeID, dataCentre domain.DataCentre) *testNode {
	c.serial++
	member := domain.Member{Node: id, Incarnation: domain.Incarnation(c.serial), DataCentre: dataCentre, Address: "10.0.0.1:7000"}
	n := &testNode{cluster: c, member: member, done: make(chan struct{})}
	options := c.options
	options.Transport = c.network.Node(member)
	options.Tables = n
	options.Membership = n
	n.editor = NewTableStore(c.store.NewClient(), testDataCentre, options)
	if dataCentre == testDataCentre {
		options.Editor = n
	}
	r, err := New(options)
	assert.NilError(c.t, err)
	n.Replica = r
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.done)
		_ = r.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id] = n
	return n
}

// Table implements Tables.
func (n *testNode) Table(dataCentre domain.DataCentre) *Table {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if dataCentre != testDataCentre {
		return nil
	}
	if old, ok := n.cluster.heldTables[n.member.Node]; ok {
		return old
	}
	return n.cluster.table
}

// Subscribe implements Tables.
func (n *testNode) Subscribe(notify func(domain.DataCentre)) func() {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	id := len(c.watchers) + 1
	c.watchers[id] = notify
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.watchers[id] = func(domain.DataCentre) {}
	}
}

// Current implements membership.View.
func (n *testNode) Current() *membership.Snapshot {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &membership.Snapshot{Self: n.member}
	for _, other := range c.nodes {
		p := membership.Peer{Member: other.member}
		if c.markedGone[other.member] {
			p.Status = membership.StatusGone
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// Edit implements TableEditor and publishes the new table.
func (n *testNode) Edit(ctx context.Context, change TableChange) (*Table, error) {
	t, err := n.editor.Edit(ctx, change)
	n.cluster.invariants.trace("table %+v %v", t, err)
	if err == nil {
		n.cluster.publish(t)
	}
	return t, err
}

func (c *cluster) publish(t *Table) {
	c.mu.Lock()
	if c.table == nil || t.Revision > c.table.Revision {
		c.table = t
	}
	var notify []func(domain.DataCentre)
	for _, f := range c.watchers {
		notify = append(notify, f)
	}
	c.mu.Unlock()
	for _, f := range notify {
		f(testDataCentre)
	}
}

func (c *cluster) edit(n *testNode, change TableChange) {
	c.t.Helper()
	_, err := n.Edit(context.Background(), change)
	assert.NilError(c.t, err)
}

// holdTables keeps nodes from seeing new tables through the store.
func (c *cluster) holdTables(ids ...domain.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.heldTables[id] = c.table
	}
}

// latest returns the table in force.
func (c *cluster) latest() *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

func (c *cluster) releaseTables(ids ...domain.NodeID) {
	c.mu.Lock()
	for _, id := range ids {
		delete(c.heldTables, id)
	}
	t := c.table
	c.mu.Unlock()
	c.publish(t)
}

// waitSettled gives the replicas time to settle the table.
func (c *cluster) waitSettled() { time.Sleep(2 * time.Second) }

// crash ends a node's incarnation without notice.
func (c *cluster) crash(id domain.NodeID) {
	n := c.nodes[id]
	n.crashed.Store(true)
	c.invariants.crashed(n.member)
	c.network.Crash(id)
	n.stop()
	<-n.done
}

// remove has another node take a node's incarnation out of the table.
func (c *cluster) remove(id domain.NodeID) {
	member := c.nodes[id].member
	c.markGone(member)
	c.edit(c.anyExcept(id), Remove(member))
}

// markGone makes every node's membership view show an incarnation with
// StatusGone.
func (c *cluster) markGone(member domain.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markedGone[member] = true
}

// leave takes a node out gracefully.
func (c *cluster) leave(id domain.NodeID) {
	n := c.nodes[id]
	c.edit(n, Leave(n.member))
	c.waitSettled()
	c.edit(n, Remove(n.member))
	c.crash(id)
}

func (c *cluster) anyExcept(ids ...domain.NodeID) *testNode {
	for i := range len(c.nodes) {
		n := c.nodes[nodeName(i)]
		if n == nil || c.markedGone[n.member] || n.member.DataCentre != testDataCentre {
			continue
		}
		found := false
		for _, id := range ids {
			found = found || id == n.member.Node
		}
		if !found {
			return n
		}
	}
	c.t.Fatalf("no running member left")
	return nil
}

// close stops the cluster and checks the invariants. It must be called before a
// synctest bubble ends.
func (c *cluster) close() {
	c.network.Close()
	for _, n := range c.nodes {
		n.stop()
		<-n.done
	}
	for _, violation := range c.invariants.violations() {
		c.t.Errorf("%s", violation)
	}
}

// key returns the i-th key of the data centre's scope.
func key(i int) domain.RequestKey {
	return domain.RequestKey{
		Scope:        domain.Scope{Kind: domain.ScopeDataCentre, DataCentre: testDataCentre},
		Organisation: "org",
		Client:       fmt.Sprintf("client-%d", i),
	}
}

// keyAt returns a key whose home is the node and that no earlier call returned.
func (c *cluster) keyAt(id domain.NodeID) domain.RequestKey {
	for {
		c.serial++
		k := key(c.serial)
		if home, ok := c.latest().Home(k); ok && home.Node == id {
			return k
		}
	}
}

// dispatch claims and commits at a node and, if allowed, dispatches.
func (n *testNode) dispatch(k domain.RequestKey) (Claim, error) {
	claim, err := n.Claim(context.Background(), k, Fingerprint{1})
	if err != nil || claim.Verdict != VerdictGranted {
		return claim, err
	}
	return claim, n.commit(claim)
}

// commit commits and, if allowed, dispatches once the node is not paused.
func (n *testNode) commit(claim Claim) error {
	granted := time.Now()
	if err := n.Commit(context.Background(), claim, "runner-1"); err != nil {
		return err
	}
	n.execute(claim, granted)
	return nil
}

// execute dispatches what was committed, unless the incarnation has crashed.
func (n *testNode) execute(claim Claim, granted time.Time) *execution {
	if n.cluster.network.AwaitResume(context.Background(), n.member.Node) != nil || n.crashed.Load() {
		return nil
	}
	return n.cluster.invariants.dispatched(claim.Key, n.member, granted)
}
