package brittle

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// cluster is a set of trackers with one clock.
type cluster struct {
	now      boottime.Instant
	trackers []*Tracker
}

func newCluster(n int) *cluster {
	c := &cluster{now: boottime.Instant(time.Hour)}
	var members []domain.Member
	for i := range n {
		members = append(members, domain.Member{Node: domain.NodeID(fmt.Sprint("n", i))})
	}
	d := directory.New()
	var listed []*directory.Endpoint
	for i := range 12 {
		listed = append(listed, endpoint(fmt.Sprint("e", i), 8))
	}
	d.Replace(c.now, listed, 0)
	for _, m := range members {
		c.trackers = append(c.trackers, New(Config{
			Self: m.Node, Clock: func() boottime.Instant { return c.now }, Members: func() []domain.Member { return members }, Directory: d,
			Log: zerolog.Nop(), Metrics: metrics.NewSet(),
		}))
	}
	return c
}

// tell sends the report of one tracker to all.
func (c *cluster) tell(from int) {
	report := &gossip.Report{From: c.trackers[from].config.Self}
	c.trackers[from].AddToReport(report)
	for i, t := range c.trackers {
		if i != from {
			t.ApplyReport(report)
		}
	}
}

func endpoint(id string, slots int) *directory.Endpoint {
	return &directory.Endpoint{ID: domain.EndpointID(id), Service: "s", Slots: slots}
}

var stated = Statement{Kind: Stated, MaxRejections: 3}

// Guards against nodes that together send a brittle endpoint more than it has slots.
func TestSharesOfAllNodesAddUpToTheSlots(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 72} {
		for _, slots := range []int{1, 6, 8, 11} {
			c := newCluster(nodes)
			c.trackers[0].Record("s", "v1", c.now, stated)
			c.tell(0)
			for i := range 10 {
				sum := 0
				for _, tracker := range c.trackers {
					share, bound := tracker.Share(endpoint(fmt.Sprint("e", i), slots))
					assert.Assert(t, bound)
					sum += share
				}
				assert.Equal(t, sum, slots, "%d nodes", nodes)
			}
		}
	}
}

func TestEveryNodeHasSlotsSomewhere(t *testing.T) {
	c := newCluster(7)
	for _, tracker := range c.trackers {
		tracker.Record("s", "v1", c.now, stated)
		sum := 0
		for i := range 4 {
			share, _ := tracker.Share(endpoint(fmt.Sprint("e", i), 6))
			sum += share
		}
		assert.Assert(t, sum > 0)
	}
}

func TestLatestStatementHolds(t *testing.T) {
	c := newCluster(2)
	bound := func(i int) bool {
		_, ok := c.trackers[i].Share(endpoint("e", 4))
		return ok
	}
	sentBefore := c.now
	c.trackers[0].Record("s", "v1", c.now, Statement{})
	assert.Assert(t, !bound(0))
	c.now = c.now.Add(time.Second)
	c.trackers[0].Record("s", "v1", c.now, stated)
	c.tell(0)
	assert.Assert(t, bound(0) && bound(1))
	c.trackers[0].Record("s", "v1", sentBefore, Statement{})
	c.trackers[1].Record("s", "v1", c.now, Statement{Kind: Invalid})
	assert.Assert(t, bound(0) && bound(1), "an answer to an earlier request ended it")
	c.now = c.now.Add(time.Second)
	c.trackers[1].Record("s", "v1", c.now, Statement{})
	c.tell(1)
	assert.Assert(t, !bound(0) && !bound(1))
	c.tell(0)
	assert.Assert(t, !bound(1), "an earlier statement of a peer began it again")
}

func TestStatementThatIsNotRepeatedIsForgotten(t *testing.T) {
	c := newCluster(1)
	c.trackers[0].Record("s", "v1", c.now, stated)
	_, bound := c.trackers[0].Share(endpoint("e", 4))
	assert.Assert(t, bound)
	c.now = c.now.Add(expireAfter + 1)
	_, bound = c.trackers[0].Share(endpoint("e", 4))
	assert.Assert(t, !bound)
	c.trackers[0].Sweep()
	assert.Equal(t, len(*c.trackers[0].services.Load())+len(c.trackers[0].shares), 0)
}

func TestRepeatedStatementStaysInForce(t *testing.T) {
	c := newCluster(1)
	for range 100 {
		c.trackers[0].Record("s", "v1", c.now, stated)
		c.now = c.now.Add(expireAfter / 20)
		c.trackers[0].Sweep()
		_, bound := c.trackers[0].Share(endpoint("e", 4))
		assert.Assert(t, bound)
	}
}

// Guards against a version whose endpoints say nothing ending what those of another one say.
func TestStatementEndsByItsOwnVersion(t *testing.T) {
	c := newCluster(2)
	c.trackers[0].Record("s", "v1", c.now, stated)
	c.trackers[0].Record("s", "v2", c.now+1, Statement{})
	_, bound := c.trackers[0].Share(endpoint("e", 4))
	assert.Assert(t, bound)
	c.trackers[0].Record("s", "v1", c.now+2, Statement{})
	_, bound = c.trackers[0].Share(endpoint("e", 4))
	assert.Assert(t, !bound)
}
