package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// fleet is nodes with a coordinator each, engines, and the platform's store.
type fleet struct {
	t       *testing.T
	network *peertest.Network
	store   *memstore.Store
	table   *config.StaticView
	members atomic.Pointer[membership.Snapshot]
	engines map[domain.EndpointID]*engine.Engine
	nodes   []*fleetNode
}

// fleetNode is a node whose way to the engines and the store can be broken.
type fleetNode struct {
	*Service
	fleet  *fleet
	client *memstore.Client
	end    context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	onCall func(call) callFault
	loads  map[string]Load
}

// call is a node's call to an engine.
type call struct {
	id domain.EndpointID
	// order is nil for a reading.
	order *endpoint.Order
}

// callFault is what goes wrong with a call: it is held before it arrives (a
// reading: before the answer arrives), it never does, or its answer is lost.
type callFault struct {
	hold             time.Duration
	lost, answerLost bool
}

// runner describes an engine of a fleet.
type runner struct {
	serves, has string
	ignores     bool
	dc          domain.DataCentre
}

// inFleet runs a test in virtual time with two nodes and the engines e1, e2, ...
func inFleet(t *testing.T, runners []runner, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, network: peertest.NewNetwork(), store: memstore.New(memstore.Options{}), engines: make(map[domain.EndpointID]*engine.Engine)}
		f.setTable(runners)
		var peers []membership.Peer
		for i := range 2 {
			m := domain.Member{Node: domain.NodeID(fmt.Sprintf("n%d", i+1)), Incarnation: 1, DataCentre: "p"}
			peers = append(peers, membership.Peer{Member: m})
		}
		f.members.Store(&membership.Snapshot{Peers: peers})
		for _, p := range peers {
			f.start(p.Member)
		}
		defer f.close()
		test(f)
	})
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.end()
		<-n.done
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.network.Close()
}

func (f *fleet) setTable(runners []runner) {
	s := &config.Snapshot{Revision: 1}
	for i, r := range runners {
		id := domain.EndpointID(fmt.Sprintf("e%d", i+1))
		if r.dc == "" {
			r.dc = "p"
		}
		s.Table.Endpoints = append(s.Table.Endpoints, config.EndpointRow{ID: id, Kind: config.KindEngine, DataCentre: r.dc, Serves: r.serves, ChecksFencing: !r.ignores})
		options := engine.Options{IgnoreFencing: r.ignores, Speed: engine.Speed{ModelLoad: 4 * time.Second}}
		if r.has != "" {
			options.Models = splitModels(r.has)
		}
		f.engines[id] = engine.New(options)
	}
	f.table = config.NewStaticView(s)
}

func splitModels(s string) []string {
	return modelsOf(&config.EndpointRow{Kind: config.KindEngine, Serves: s})
}

// Current implements membership.View.
func (f *fleet) Current() *membership.Snapshot { return f.members.Load() }

func (f *fleet) start(m domain.Member) {
	n := &fleetNode{fleet: f, client: f.store.NewClient(), done: make(chan struct{})}
	var err error
	n.Service, err = New(Options{
		Transport: f.network.Node(m), Members: f, Config: f.table, Store: n.client, Engines: n, Demand: n,
		Metrics: metrics.NewSet(), Logger: zerolog.Nop(),
	})
	assert.NilError(f.t, err)
	ctx, end := context.WithCancel(context.Background())
	n.end = end
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	f.nodes = append(f.nodes, n)
}

// Demand implements Demand.
func (n *fleetNode) Demand() map[string]Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads
}

// Orders implements Engines.
func (n *fleetNode) Orders(id domain.EndpointID) (endpoint.Orders, bool) {
	return way{n, id, n.fleet.engines[id]}, true
}

// onCalls decides what goes wrong with the node's calls from now on.
func (n *fleetNode) onCalls(f func(call) callFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCall = f
}

func (n *fleetNode) fault(c call) callFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.onCall == nil {
		return callFault{}
	}
	return n.onCall(c)
}

// once returns a function that gives the fault to the nth call that suits.
func once(nth int, suits func(call) bool, f func() callFault) func(call) callFault {
	return func(c call) callFault {
		if !suits(c) {
			return callFault{}
		}
		if nth--; nth != 0 {
			return callFault{}
		}
		return f()
	}
}

// pause stops the node's process for a time, as far as the store can see.
func (n *fleetNode) pause(d time.Duration) callFault {
	n.client.SetDown(true)
	time.AfterFunc(d, func() { n.client.SetDown(false) })
	return callFault{hold: d}
}

// way is a node's way to an engine. What has been sent arrives, whether its
// sender waits for it or not.
type way struct {
	node   *fleetNode
	id     domain.EndpointID
	engine *engine.Engine
}

func (w way) Order(ctx context.Context, order endpoint.Order) error {
	f := w.node.fault(call{w.id, &order})
	time.Sleep(f.hold)
	if f.lost {
		return endpoint.ErrBroken
	}
	err := w.engine.Order(context.WithoutCancel(ctx), order)
	if f.answerLost {
		return endpoint.ErrBroken
	}
	return err
}

func (w way) State(ctx context.Context) (endpoint.EngineState, error) {
	state, err := w.engine.State(ctx)
	time.Sleep(w.node.fault(call{w.id, nil}).hold)
	return state, err
}

// holder returns the node that holds the lease, nil if none does.
func (f *fleet) holder() *fleetNode {
	for _, n := range f.nodes {
		for _, g := range n.Dump().Led {
			if g.Held {
				return n
			}
		}
	}
	return nil
}

// other returns the node that is not the given one.
func (f *fleet) other(n *fleetNode) *fleetNode {
	if f.nodes[0] == n {
		return f.nodes[1]
	}
	return f.nodes[0]
}

// need makes both nodes tell what the models need.
func (f *fleet) need(loads map[string]Load) {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.loads = loads
		n.mu.Unlock()
	}
}

// serves asserts which models an engine has, all ready.
func (f *fleet) serves(id domain.EndpointID, models ...string) {
	f.t.Helper()
	state, err := f.engines[id].State(f.t.Context())
	assert.NilError(f.t, err)
	got := []string{}
	for _, m := range state.Models {
		assert.Assert(f.t, m.Ready, "%s at %s", m.Model, id)
		got = append(got, m.Model)
	}
	assert.DeepEqual(f.t, got, append([]string{}, models...))
}

// orders returns the engine's witness of loads and unloads.
func (f *fleet) orders(id domain.EndpointID) []engine.OrderRecord {
	var records []engine.OrderRecord
	for _, r := range f.engines[id].OrderLog() {
		if r.Order.Kind != endpoint.OrderSetRole {
			records = append(records, r)
		}
	}
	return records
}
