package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// staticMembers is a membership.View that a test sets.
type staticMembers struct {
	current atomic.Pointer[membership.Snapshot]
}

func (m *staticMembers) Current() *membership.Snapshot { return m.current.Load() }

// testNode is one incarnation of a node in a cluster.
type testNode struct {
	*Service
	member  domain.Member
	view    *staticMembers
	options Options
	stop    context.CancelFunc
	done    chan struct{}
}

// cluster is a set of nodes over an in-memory network in virtual time.
type cluster struct {
	t       *testing.T
	network *peertest.Network
	config  *config.StaticView
	nodes   map[domain.NodeID]*testNode
	status  map[domain.NodeID]membership.Status
	options Options
	rows    []config.EndpointRow
	cancels []context.CancelFunc
	// ended is closed at the end of the test.
	ended chan struct{}
}

// runCluster runs a test in virtual time with nodes whose names consist of a data
// centre and a number.
func runCluster(t *testing.T, rows []config.EndpointRow, options Options, names []domain.NodeID, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:       t,
			network: peertest.NewNetwork(),
			config:  &config.StaticView{},
			nodes:   make(map[domain.NodeID]*testNode),
			status:  make(map[domain.NodeID]membership.Status),
			options: options,
			rows:    rows,
			ended:   make(chan struct{}),
		}
		c.network.SetDelay(func(from, to domain.Member) time.Duration {
			if from.DataCentre != to.DataCentre {
				return 1500 * time.Microsecond
			}
			return 200 * time.Microsecond
		})
		c.configure(rows)
		for _, name := range names {
			c.add(name, 1)
		}
		c.publish()
		defer c.close()
		time.Sleep(2 * time.Second)
		f(t, c)
	})
}

// dataCentreOf returns the data centre that a node's name begins with.
func dataCentreOf(name domain.NodeID) domain.DataCentre {
	var dc string
	var n int
	_, _ = fmt.Sscanf(string(name), "%1s%d", &dc, &n)
	return domain.DataCentre(dc)
}

// add starts an incarnation of a node.
func (c *cluster) add(name domain.NodeID, incarnation domain.Incarnation) *testNode {
	member := domain.Member{Node: name, Incarnation: incarnation, DataCentre: dataCentreOf(name), Address: "127.0.0.1:1"}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{member: member, view: &staticMembers{}, stop: stop, done: make(chan struct{})}
	c.nodes[name] = n
	c.status[name] = membership.StatusAlive
	n.view.current.Store(c.snapshot(member))
	n.options = c.options
	n.options.Transport, n.options.Membership, n.options.Config = c.network.Node(member), n.view, c.config
	n.Service = New(n.options)
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	return n
}

// crash stops a node without a graceful shutdown.
func (c *cluster) crash(name domain.NodeID) {
	c.network.Crash(name)
	c.nodes[name].stop()
	<-c.nodes[name].done
	delete(c.nodes, name)
}

func (c *cluster) close() {
	close(c.ended)
	for _, cancel := range c.cancels {
		cancel()
	}
	for _, n := range c.nodes {
		n.stop()
	}
	c.network.Close()
	for _, n := range c.nodes {
		<-n.done
	}
}

// snapshot is the membership view given to all nodes.
func (c *cluster) snapshot(self domain.Member) *membership.Snapshot {
	s := &membership.Snapshot{Self: self}
	for _, n := range c.nodes {
		s.Peers = append(s.Peers, membership.Peer{Member: n.member, Status: c.status[n.member.Node]})
	}
	slices.SortFunc(s.Peers, func(a, b membership.Peer) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return s
}

// publish updates the membership view of the given nodes, or of all.
func (c *cluster) publish(names ...domain.NodeID) {
	for name, n := range c.nodes {
		if len(names) == 0 || slices.Contains(names, name) {
			n.view.current.Store(c.snapshot(n.member))
		}
	}
}

// configure sets the endpoints, with tiers gold, silver and bronze and two
// organisations of different weights.
func (c *cluster) configure(rows []config.EndpointRow) {
	c.config.Set(testSnapshot(rows))
}

func testSnapshot(rows []config.EndpointRow) *config.Snapshot {
	s := &config.Snapshot{
		Revision:      1,
		Organisations: make(map[domain.OrganisationID]*config.Organisation),
		Endpoints:     make(map[domain.EndpointID]*config.EndpointRow),
		Pools:         make(map[domain.PoolName][]*config.EndpointRow),
	}
	for rank, name := range []string{"gold", "silver", "bronze"} {
		s.Table.Tiers = append(s.Table.Tiers, config.TierRow{Name: name, Rank: domain.Tier(rank)})
	}
	for _, o := range []config.OrganisationRow{{ID: "light", Weight: 1}, {ID: "heavy", Weight: 3}} {
		s.Organisations[o.ID] = &config.Organisation{OrganisationRow: o}
	}
	for i := range rows {
		row := &rows[i]
		s.Endpoints[row.ID] = row
		for _, pool := range row.PoolNames() {
			s.Pools[pool] = append(s.Pools[pool], row)
		}
	}
	return s
}

// engine returns the row of an engine that serves the models.
func engine(id domain.EndpointID, dc domain.DataCentre, limit int, models string) config.EndpointRow {
	return config.EndpointRow{ID: id, Kind: config.KindEngine, DataCentre: dc, Serves: models, Weight: 100, Limit: limit}
}

// ownerOf returns the node that owns the pool in a data centre, according to the view
// of the first given node.
func (c *cluster) ownerOf(at domain.NodeID, dc domain.DataCentre, pool domain.PoolName) domain.NodeID {
	member, ok := c.nodes[at].currentLayout().owner(dc, pool)
	assert.Assert(c.t, ok)
	return member.Node
}

// dump returns the state of the only pool group that the node owns.
func (c *cluster) dump(name domain.NodeID) GroupDump {
	owned := c.nodes[name].Dump().Owned
	assert.Equal(c.t, len(owned), 1)
	return owned[0]
}

// pendingAcquire is a running call of Acquire.
type pendingAcquire struct {
	mu      sync.Mutex
	grant   Grant
	err     error
	done    bool
	ended   time.Time
	cancel  context.CancelFunc
	started time.Time
}

// acquire starts a call of Acquire in the background.
func (c *cluster) acquire(name domain.NodeID, request Request) *pendingAcquire {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels = append(c.cancels, cancel)
	w := &pendingAcquire{cancel: cancel, started: time.Now()}
	service := c.nodes[name].Service
	go func() {
		grant, err := service.Acquire(ctx, request)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.grant, w.err, w.done, w.ended = grant, err, true, time.Now()
	}()
	return w
}

// result waits until all goroutines are blocked and returns the outcome so far.
func (w *pendingAcquire) result() (Grant, error, bool) {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grant, w.err, w.done
}

// requireGranted requires the request to be granted after the given time.
func (w *pendingAcquire) requireGranted(t *testing.T, after time.Duration) Grant {
	t.Helper()
	time.Sleep(after)
	grant, err, done := w.result()
	assert.Assert(t, done, "still waiting after %s", after)
	assert.NilError(t, err)
	return grant
}

// requireWaiting requires the request to be waiting after the given time.
func (w *pendingAcquire) requireWaiting(t *testing.T, after time.Duration) {
	t.Helper()
	time.Sleep(after)
	_, err, done := w.result()
	assert.Assert(t, !done, "ended: %v", err)
}

// requireRefused requires the request to be refused for the reason after the given
// time.
func (w *pendingAcquire) requireRefused(t *testing.T, after time.Duration, reason error) *Refusal {
	t.Helper()
	time.Sleep(after)
	_, err, done := w.result()
	assert.Assert(t, done, "still waiting after %s", after)
	assert.ErrorIs(t, err, reason)
	var refusal *Refusal
	assert.Assert(t, asRefusal(err, &refusal))
	return refusal
}

func asRefusal(err error, target **Refusal) bool {
	r, ok := err.(*Refusal)
	*target = r
	return ok
}

const quotePool = domain.PoolName("model/quote")

// newRequest returns a request with a deadline of a minute.
func newRequest(tier domain.Tier) Request {
	return Request{Pool: quotePool, Organisation: "light", Tier: tier, PromptTokens: 10, AnswerTokens: 10, Deadline: time.Minute}
}

// completedResult is the result of a request that was served completely.
var completedResult = Result{Dispatched: true, Complete: true}
