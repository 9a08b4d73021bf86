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

// fleet is a set of nodes with a coordinator each, engines and a store.
type fleet struct {
	t       *testing.T
	network *peertest.Network
	store   *memstore.Store
	table   *config.StaticView
	members atomic.Pointer[membership.Snapshot]
	engines map[domain.EndpointID]*engine.Engine
	nodes   []*fleetNode
}

// fleetNode is a node whose connections to the engines and the store can fail.
type fleetNode struct {
	*Service
	fleet  *fleet
	client *memstore.Client
	cancel context.CancelFunc
	done   chan struct{}

	mu          sync.Mutex
	onCall      func(call) callFault
	modelDemand map[string]ModelDemand
}

// call is a call from a node to an engine.
type call struct {
	id domain.EndpointID
	// order is nil for a state read.
	order *endpoint.Order
}

// callFault is a fault of a call: it is delayed before it arrives (for a state
// read, before the answer arrives), it is lost, or its answer is lost.
type callFault struct {
	delay            time.Duration
	lost, answerLost bool
}

// engineSpec describes an engine of a fleet.
type engineSpec struct {
	serves, loaded string
	ignoresFencing bool
	dc             domain.DataCentre
}

// runFleetTest runs a test in virtual time with two nodes and the engines e1, e2
// and so on.
func runFleetTest(t *testing.T, specs []engineSpec, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, network: peertest.NewNetwork(), store: memstore.New(memstore.Options{}), engines: make(map[domain.EndpointID]*engine.Engine)}
		f.setTable(specs)
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
		n.cancel()
		<-n.done
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.network.Close()
}

func (f *fleet) setTable(specs []engineSpec) {
	s := &config.Snapshot{Revision: 1}
	for i, r := range specs {
		id := domain.EndpointID(fmt.Sprintf("e%d", i+1))
		if r.dc == "" {
			r.dc = "p"
		}
		s.Table.Endpoints = append(s.Table.Endpoints, config.EndpointRow{ID: id, Kind: config.KindEngine, DataCentre: r.dc, Serves: r.serves, ChecksFencing: !r.ignoresFencing})
		options := engine.Options{IgnoreFencing: r.ignoresFencing, Speed: engine.Speed{ModelLoad: 4 * time.Second}}
		if r.loaded != "" {
			options.Models = splitModels(r.loaded)
		}
		f.engines[id] = engine.New(options)
	}
	f.table = config.NewStaticView(s)
}

func splitModels(s string) []string {
	return modelsOfRow(&config.EndpointRow{Kind: config.KindEngine, Serves: s})
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
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	f.nodes = append(f.nodes, n)
}

// Demand implements DemandSource.
func (n *fleetNode) Demand() map[string]ModelDemand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.modelDemand
}

// Orders implements Engines.
func (n *fleetNode) Orders(id domain.EndpointID) (endpoint.Orders, bool) {
	return engineClient{n, id, n.fleet.engines[id]}, true
}

// setCallFaults sets the function that chooses the fault of each later call of the
// node.
func (n *fleetNode) setCallFaults(f func(call) callFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCall = f
}

func (n *fleetNode) faultFor(c call) callFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.onCall == nil {
		return callFault{}
	}
	return n.onCall(c)
}

// onNthCall returns a function that applies the fault to the nth matching call.
func onNthCall(nth int, matches func(call) bool, f func() callFault) func(call) callFault {
	return func(c call) callFault {
		if !matches(c) {
			return callFault{}
		}
		if nth--; nth != 0 {
			return callFault{}
		}
		return f()
	}
}

// pause simulates a pause of the process: the store is unreachable and the call is
// delayed for d.
func (n *fleetNode) pause(d time.Duration) callFault {
	n.client.SetDown(true)
	time.AfterFunc(d, func() { n.client.SetDown(false) })
	return callFault{delay: d}
}

// engineClient is the client of a node for an engine. A call that was sent arrives
// even if its sender has stopped waiting for it.
type engineClient struct {
	node   *fleetNode
	id     domain.EndpointID
	engine *engine.Engine
}

func (c engineClient) Order(ctx context.Context, order endpoint.Order) error {
	f := c.node.faultFor(call{c.id, &order})
	time.Sleep(f.delay)
	if f.lost {
		return endpoint.ErrBroken
	}
	err := c.engine.Order(context.WithoutCancel(ctx), order)
	if f.answerLost {
		return endpoint.ErrBroken
	}
	return err
}

func (c engineClient) State(ctx context.Context) (endpoint.EngineState, error) {
	state, err := c.engine.State(ctx)
	time.Sleep(c.node.faultFor(call{c.id, nil}).delay)
	return state, err
}

// holder returns the node that holds the lease, or nil.
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

// otherNode returns the other of the two nodes.
func (f *fleet) otherNode(n *fleetNode) *fleetNode {
	if f.nodes[0] == n {
		return f.nodes[1]
	}
	return f.nodes[0]
}

// setDemand makes both nodes report the same demand.
func (f *fleet) setDemand(demand map[string]ModelDemand) {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.modelDemand = demand
		n.mu.Unlock()
	}
}

// assertServes asserts that the engine has exactly these models, all ready.
func (f *fleet) assertServes(id domain.EndpointID, models ...string) {
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

// orders returns the loads and unloads that the engine has recorded.
func (f *fleet) orders(id domain.EndpointID) []engine.OrderRecord {
	var records []engine.OrderRecord
	for _, r := range f.engines[id].OrderLog() {
		if r.Order.Kind != endpoint.OrderSetRole {
			records = append(records, r)
		}
	}
	return records
}
