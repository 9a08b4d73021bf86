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

var errBad = errors.New("this one can't be applied")

// fleet is a number of light nodes with one store, in one synctest bubble.
type fleet struct {
	t       testing.TB
	network *peertest.Network
	store   *memstore.Store
	spec    Spec
	options Options
	nodes   []*testNode
	// budgeted nodes use the store within a budget, as real ones do.
	budgeted bool
	// bad are values that no node can apply.
	bad string
	// applied is called when a node puts a value in force.
	applied func(n *testNode, version Version)
}

// testNode is one node, restarted in place.
type testNode struct {
	fleet   *fleet
	member  domain.Member
	client  *memstore.Client
	service *Service
	view    atomic.Pointer[membership.Snapshot]
	stop    context.CancelFunc
	done    chan struct{}
	// highest is the latest version ever put in force, over all lives.
	highest Stamp
}

func (n *testNode) Current() *membership.Snapshot { return n.view.Load() }

// inBubble runs a test with a fleet that has not started.
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

// linkDelay is the one-way delay of the brief's larger case.
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

// start starts nodes that do not run, and tells everyone.
func (f *fleet) start(nodes ...*testNode) {
	if len(nodes) == 0 {
		nodes = f.nodes
	}
	for _, n := range nodes {
		n.member.Incarnation++
	}
	f.share(nil)
	for _, n := range nodes {
		n.launch()
	}
}

// share gives every node the same view; the status function may be nil.
func (f *fleet) share(status func(viewer, of *testNode) membership.Status) {
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

// halt ends the node's life; its peers find out by themselves.
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
	if n.fleet.bad != "" && string(value) == n.fleet.bad {
		return errBad
	}
	if n.highest.After(version.Stamp) {
		n.fleet.t.Errorf("%s went from %s to %s", n.member, n.highest, version.Stamp)
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

// value is what the node has in force; empty for nothing.
func (n *testNode) value() string {
	_, value, _ := n.service.Current(docName)
	return string(value.Bytes())
}

func (n *testNode) is(o *testNode) bool { return n == o }

func (n *testNode) condition() Condition { return n.service.Conditions()[0] }

// expectAll fails unless all nodes that run have the value in force.
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

// centre returns the nodes of a data centre.
func (f *fleet) centre(name domain.DataCentre) []*testNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *testNode) bool { return n.member.DataCentre != name })
}

func names(nodes []*testNode) []domain.NodeID {
	var all []domain.NodeID
	for _, n := range nodes {
		all = append(all, n.member.Node)
	}
	return all
}

// splitHead returns the watchers of a data centre and its other nodes.
func (f *fleet) splitHeads(nodes []*testNode) (watching, others []*testNode) {
	for _, n := range nodes {
		if n.condition().Watching {
			watching = append(watching, n)
		} else {
			others = append(others, n)
		}
	}
	return watching, others
}
