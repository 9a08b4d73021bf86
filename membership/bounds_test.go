package membership

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

var boundSeedsFlag = flag.Int("membership.seeds", 2, "number of `seeds` of the tests of worst-case times")

// The worst cases that doc.go derives, with the default options. The polls of the tests add up to pollInterval.
const (
	pollInterval = 50 * time.Millisecond
	// maxSpread is for 48 nodes: 9 hops.
	maxSpread    = 9 * (pushDelay + 5*time.Millisecond)
	maxDetection = 4*DefaultProbeInterval + DefaultProbeTimeout + 2*DefaultProbeTimeout + DefaultSuspicionTimeout
	maxExchange  = DefaultExchangeInterval + DefaultExchangeTimeout/2
)

// boundCase is a cluster whose nodes change at random moments.
type boundCase struct {
	dcs, size int
	// rounds is how often nodes change.
	rounds int
	// together is the number of nodes that change at one time, neighbours in the ring.
	together int
	// change changes a node of the first data centre, which the others then see with the status.
	change func(t *testing.T, x *testCluster, node domain.NodeID)
	status Status
	// local and all bound the time until the node's data centre and all nodes know.
	local, all time.Duration
}

func leave(t *testing.T, x *testCluster, node domain.NodeID) {
	assert.NilError(t, x.nodes[node].Leave(t.Context()))
}

// pauseAndResume returns when the node has resumed; the time until it is alive again counts from there.
func pauseAndResume(_ *testing.T, x *testCluster, node domain.NodeID) {
	x.network.Pause(node)
	time.Sleep(20 * time.Second)
	x.network.Resume(node)
}

func crashNode(_ *testing.T, x *testCluster, node domain.NodeID) { x.crash(node) }

func stopNode(t *testing.T, x *testCluster, node domain.NodeID) {
	assert.NilError(t, x.nodes[node].AnnounceStopped(t.Context()))
	x.crash(node)
}

// Guards against times that hold only for lucky orders of probes and phases of ticks: nodes change at many moments, with many
// seeds.
func TestChangesAreNoticedInTheWorstCase(t *testing.T) {
	cases := map[string]boundCase{
		"crash, 2 nodes":    {1, 2, 1, 1, crashNode, StatusUnreachable, maxDetection, maxDetection},
		"crash, 3 x 7":      {3, 7, 3, 1, crashNode, StatusUnreachable, maxDetection + maxSpread, maxDetection + maxSpread + maxExchange + maxSpread},
		"crash, 2 x 48":     {2, 48, 4, 1, crashNode, StatusUnreachable, maxDetection + maxSpread, maxDetection + maxSpread + maxExchange + maxSpread},
		"5 crashes, 1 x 24": {1, 24, 1, 5, crashNode, StatusUnreachable, maxDetection + 4*DefaultProbeInterval + maxSpread, maxDetection + 4*DefaultProbeInterval + maxSpread},
		"leave, 2 x 6":      {2, 6, 1, 1, leave, StatusLeaving, 0, maxExchange + maxSpread},
		"resume, 2 x 12":    {2, 12, 3, 1, pauseAndResume, StatusAlive, DefaultProbeInterval + maxSpread, DefaultProbeInterval + maxSpread + maxExchange + maxSpread},
		"stop, 2 x 6 nodes": {2, 6, 3, 1, stopNode, StatusGone, 0, maxExchange + maxSpread},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var local, all time.Duration
			for seed := range uint64(*boundSeedsFlag) {
				l, a := c.run(t, seed)
				local, all = max(local, l), max(all, a)
			}
			t.Logf("worst of %d seeds: %s in the data centre, bound %s; %s everywhere, bound %s", *boundSeedsFlag, local, c.local, all, c.all)
			assert.Assert(t, local <= c.local+pollInterval)
			assert.Assert(t, all <= c.all+pollInterval)
		})
	}
}

// run returns the longest times until the data centre and all nodes knew that a node had disappeared.
func (c boundCase) run(t *testing.T, seed uint64) (local, all time.Duration) {
	withTestCluster(t, c.dcs, c.size, withSeed(seed), func(t *testing.T, x *testCluster) {
		random := rand.New(rand.NewPCG(seed, 0))
		for range c.rounds {
			time.Sleep(time.Duration(random.Int64N(int64(2 * DefaultExchangeInterval))))
			nodes := newRing(x.nodesIn(0))
			first := random.IntN(len(nodes))
			var ended []domain.NodeID
			for i := range c.together {
				ended = append(ended, nodes[(first+i)%len(nodes)])
			}
			for _, node := range ended {
				c.change(t, x, node)
			}
			l := x.within(time.Minute, "noticed in the data centre", func() bool { return x.all(x.nodesIn(0), ended, c.status) })
			a := l + x.within(time.Minute, "noticed everywhere", func() bool { return x.all(x.order, ended, c.status) })
			local, all = max(local, l), max(all, a)
			time.Sleep(syncQuietPeriod)
		}
	})
	return local, all
}

// Guards against the same for a data centre that can't be reached.
func TestCutOffDataCentreIsNoticedInTheWorstCase(t *testing.T) {
	const bound = DefaultExchangeInterval + 7*DefaultExchangeTimeout/2 + maxSpread
	var worst time.Duration
	for seed := range uint64(*boundSeedsFlag) {
		withTestCluster(t, 2, 6, withSeed(seed), func(t *testing.T, x *testCluster) {
			random := rand.New(rand.NewPCG(seed, 0))
			a, b := x.nodesIn(0), x.nodesIn(1)
			time.Sleep(time.Duration(random.Int64N(int64(2 * DefaultExchangeInterval))))
			x.network.Partition(a, b)
			took := x.within(time.Minute, "noticed on both sides", func() bool { return x.all(a, b, StatusUnreachable) && x.all(b, a, StatusUnreachable) })
			worst = max(worst, took)
		})
	}
	t.Logf("worst of %d seeds: %s, bound %s", *boundSeedsFlag, worst, bound)
	assert.Assert(t, worst <= bound+pollInterval)
}
