package brittle

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/gossip"
)

var seeds = flag.Int("brittle.seeds", 20, "seeds of the test of lent shares")

const (
	reportInterval = 100 * time.Millisecond
	allSlots       = 12 * 8
)

// report has a tracker report to others, given the places that its callers need.
func (c *cluster) report(from int, places float64, to func(int) bool) {
	report := &gossip.Report{From: c.trackers[from].config.Self}
	if places > 0 {
		report.Asked = []gossip.ServiceDemand{{Service: "s", PlaceMillis: int(places * float64(gossip.DemandDecay.Milliseconds()))}}
	}
	c.trackers[from].AddToReport(report)
	for i, t := range c.trackers {
		if i != from && to(i) {
			t.ApplyReport(report)
		}
	}
}

func everyone(int) bool { return true }

// pass lets time pass in which all nodes report, given the places that the callers of each need.
func (c *cluster) pass(d time.Duration, places ...float64) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(reportInterval) {
		for i := range c.trackers {
			c.trackers[i].Record("s", "v1", c.now, stated)
			c.report(i, places[i], everyone)
		}
	}
}

// slots is the number of slots of all endpoints that a node may use.
func (c *cluster) slots(node int) int {
	sum := 0
	for i := range 12 {
		share, _ := c.trackers[node].Share(endpoint(fmt.Sprint("e", i), 8))
		sum += share
	}
	return sum
}

// Guards against a node that gets all callers being kept to its equal share while the others need none.
func TestNodeWithAllCallersBorrowsShares(t *testing.T) {
	c := newCluster(5)
	c.pass(time.Second, 40, 0, 0, 0, 0)
	assert.Assert(t, c.slots(0) > allSlots*2/3, "%d", c.slots(0))
	for i := 1; i < 5; i++ {
		assert.Assert(t, c.slots(i) > 0, "nothing is left for the next callers of an idle node")
	}
	c.pass(takeBackAfter+time.Second, 0, 40, 0, 0, 0)
	assert.Assert(t, c.slots(1) > allSlots*2/3, "%d", c.slots(1))
}

func TestEvenDemandLeavesSharesEqual(t *testing.T) {
	for _, places := range []float64{0, 1, 10, 30} {
		c := newCluster(5)
		c.pass(5*time.Second, places, places, places, places, places)
		for i := range c.trackers {
			assert.Assert(t, c.slots(i) >= 15 && c.slots(i) <= 24, "%v places: %d", places, c.slots(i))
		}
	}
}

// A lender that isn't heard may be alive and use its share.
func TestBorrowerCutOffFromLendersKeepsItsOwnShare(t *testing.T) {
	c := newCluster(5)
	c.pass(time.Second, 40, 0, 0, 0, 0)
	borrowed := c.slots(0)
	for range 3 * time.Second / reportInterval {
		c.now = c.now.Add(reportInterval)
		c.trackers[0].Record("s", "v1", c.now, stated)
	}
	assert.Assert(t, c.slots(0) < borrowed/2, "%d, %d before", c.slots(0), borrowed)
	for i := 1; i < 5; i++ {
		c.report(i, 30, func(to int) bool { return to != 0 })
	}
	c.now = c.now.Add(takeBackAfter)
	for i := 1; i < 5; i++ {
		c.trackers[i].Record("s", "v1", c.now, stated)
		assert.Assert(t, c.slots(i) >= 15, "%d", c.slots(i))
	}
}

// A lender's next process doesn't know what was lent.
func TestReportWithoutStatementEndsBorrowing(t *testing.T) {
	c := newCluster(2)
	c.pass(time.Second, 40, 0)
	borrowed := c.slots(0)
	c.trackers[0].ApplyReport(&gossip.Report{From: c.trackers[1].config.Self})
	c.now = c.now.Add(shareInterval)
	assert.Assert(t, c.slots(0) < borrowed)
}

// Guards against nodes that together use more than an endpoint's slots, however their demand changes and whichever reports are lost.
func TestLentSharesNeverAddUpToMoreThanTheSlots(t *testing.T) {
	lent := 0
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			c := newCluster(2 + random.IntN(7))
			c.trackers[0].Record("s", "v1", c.now, stated)
			c.report(0, 0, everyone)
			most := c.walk(random, func() {
				for e := range 12 {
					sum := 0
					for _, tracker := range c.trackers {
						share, bound := tracker.Share(endpoint(fmt.Sprint("e", e), 8))
						assert.Assert(t, bound)
						sum += share
					}
					assert.Assert(t, sum <= 8, "%d of 8 slots", sum)
				}
			})
			if most > allSlots/len(c.trackers)+8 {
				lent++
			}
		})
	}
	assert.Assert(t, 2*lent > *seeds, "shares were lent in %d of %d runs", lent, *seeds)
}

// walk lets a minute pass in which demand changes, links are cut in one direction, and reports are lost. It returns the largest
// number of slots that a node had.
func (c *cluster) walk(random *rand.Rand, check func()) (most int) {
	n := len(c.trackers)
	places, cut := make([]float64, n), make(map[[2]int]bool)
	for range time.Minute / reportInterval {
		c.now = c.now.Add(reportInterval)
		if random.IntN(20) == 0 {
			places[random.IntN(n)] = float64(random.IntN(3) * 20)
		}
		if link := [2]int{random.IntN(n), random.IntN(n)}; random.IntN(20) == 0 {
			cut[link] = !cut[link]
		}
		for i := range n {
			c.trackers[i].Record("s", "v1", c.now, stated)
			c.report(i, places[i], func(to int) bool { return !cut[[2]int{i, to}] && random.IntN(5) > 0 })
			most = max(most, c.slots(i))
		}
		check()
	}
	return most
}
