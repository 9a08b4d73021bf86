package document

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/budget"
	"hawthornrill.example/hawthornrill/store/memstore"
)

const docName = "config"

var errInvalidValue = errors.New("value can't be applied in this test")

// fleet is a set of lightweight nodes that share one store, in one synctest bubble.
type fleet struct {
	t       testing.TB
	network *peertest.Network
	store   *memstore.Store
	spec    Spec
	options Options
	nodes   []*testNode
	// budgeted gives the nodes a budget for store calls, as in production.
	budgeted bool
	// invalidValue is a value that no node can apply; empty for none.
	invalidValue string
	// applied is called when a node applies a version.
	applied func(n *testNode, version Version)
}

// testNode is a node that can be stopped and restarted.
type testNode struct {
	fleet   *fleet
	member  domain.Member
	client  *memstore.Client
	service *Service
	view    atomic.Pointer[membership.Snapshot]
	stop    context.CancelFunc
	done    chan struct{}
	// highest is the latest version ever applied, across restarts.
	highest Stamp
}

func (n *testNode) Current() *membership.Snapshot { return n.view.Load() }

// inBubble runs a test in a synctest bubble, with a fleet that has not started.
func inBubble(t *testing.T, centres, each int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, centres, each)
		defer f.close()
		test(t, f)
	})
}

func newFleet(t testing.TB, centres, each int) *fleet {
	f := &fleet{
		t:       t,
		network: peertest.NewNetwork(),
		store:   memstore.New(memstore.Options{}),
		spec:    Spec{Name: docName, KeepHistory: 8},
	}
	f.network.SetDelay(linkDelay)
	f.store.SetDelay(2 * time.Millisecond)
	for c := range centres {
		for i := range each {
			f.nodes = append(f.nodes, &testNode{
				fleet:  f,
				client: f.store.NewClient(),
				member: domain.Member{
					Node:       domain.NodeID(fmt.Sprintf("n%d-%d", c, i)),
					DataCentre: domain.DataCentre(fmt.Sprintf("dc%d", c)),
				},
			})
		}
	}
	return f
}

// linkDelay returns the one-way delays of the larger reference deployment.
func linkDelay(from, to domain.Member) time.Duration {
	if from.DataCentre == to.DataCentre {
		return 200 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.halt()
	}
	f.network.Close()
}

// start starts the given nodes, or all, and updates the membership of every node.
func (f *fleet) start(nodes ...*testNode) {
	if len(nodes) == 0 {
		nodes = f.nodes
	}
	for _, n := range nodes {
		n.member.Incarnation++
	}
	f.setMembership(nil)
	for _, n := range nodes {
		n.launch()
	}
}

// setMembership stores the same members in every node's view; status may be nil.
func (f *fleet) setMembership(status func(viewer, of *testNode) membership.Status) {
	for _, viewer := range f.nodes {
		snapshot := &membership.Snapshot{Self: viewer.member}
		for _, of := range f.nodes {
			p := membership.Peer{Member: of.member}
			if status != nil {
				p.Status = status(viewer, of)
			}
			snapshot.Peers = append(snapshot.Peers, p)
		}
		viewer.view.Store(snapshot)
	}
}

func (n *testNode) launch() {
	options := n.fleet.options
	options.Transport = n.fleet.network.Node(n.member)
	options.Members = n
	options.Store = n.client
	if n.fleet.budgeted {
		options.Store = budget.New(n.client, budget.Options{})
	}
	service, err := New(options)
	assert.NilError(n.fleet.t, err)
	spec := n.fleet.spec
	spec.Apply = n.apply
	assert.NilError(n.fleet.t, service.Register(spec))
	n.service = service
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.done = make(chan struct{})
	go func() {
		defer close(n.done)
		_ = service.Run(ctx)
	}()
}

// halt stops the node without informing its peers.
func (n *testNode) halt() {
	if n.stop == nil {
		return
	}
	n.fleet.network.Crash(n.member.Node)
	n.stop()
	<-n.done
	n.stop = nil
}

func (n *testNode) apply(version Version, value []byte) error {
	if n.fleet.invalidValue != "" && string(value) == n.fleet.invalidValue {
		return errInvalidValue
	}
	if n.highest.After(version.Stamp) {
		n.fleet.t.Errorf("%s went back from version %s to %s", n.member, n.highest, version.Stamp)
	}
	n.highest = version.Stamp
	if n.fleet.applied != nil {
		n.fleet.applied(n, version)
	}
	return nil
}

// set returns a change that replaces the value.
func set(text string) ChangeFunc {
	return func(Version, []byte) (Value, error) { return NewValue([]byte(text)), nil }
}

// add returns a change that appends to the value.
func add(text string) ChangeFunc {
	return func(_ Version, value []byte) (Value, error) {
		return NewValue(append(slices.Clone(value), text...)), nil
	}
}

func (n *testNode) update(change ChangeFunc) (Version, error) {
	return n.service.Update(context.Background(), docName, Edit{ID: NewEditID(), Author: "anna"}, change)
}

func (n *testNode) mustUpdate(change ChangeFunc) Version {
	n.fleet.t.Helper()
	version, err := n.update(change)
	assert.NilError(n.fleet.t, err)
	return version
}

// value returns the value in force on the node; empty for none.
func (n *testNode) value() string {
	_, value, _ := n.service.Current(docName)
	return string(value.Bytes())
}

func (n *testNode) is(o *testNode) bool { return n == o }

func (n *testNode) condition() Condition { return n.service.Conditions()[0] }

// expectAll fails unless all running nodes have the value in force.
func (f *fleet) expectAll(want string, nodes ...*testNode) {
	f.t.Helper()
	if len(nodes) == 0 {
		nodes = f.nodes
	}
	for _, n := range nodes {
		if n.stop != nil {
			assert.Equal(f.t, n.value(), want, "at %s", n.member)
		}
	}
}

// dataCentre returns the nodes of the named data centre.
func (f *fleet) dataCentre(name domain.DataCentre) []*testNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *testNode) bool { return n.member.DataCentre != name })
}

func nodeIDs(nodes []*testNode) []domain.NodeID {
	var all []domain.NodeID
	for _, n := range nodes {
		all = append(all, n.member.Node)
	}
	return all
}

// splitWatchers divides nodes into those that watch the store and the others.
func (f *fleet) splitWatchers(nodes []*testNode) (watching, others []*testNode) {
	for _, n := range nodes {
		if n.condition().Watching {
			watching = append(watching, n)
		} else {
			others = append(others, n)
		}
	}
	return watching, others
}
