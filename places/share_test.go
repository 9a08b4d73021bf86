package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/gossip"
)

// takenBeside is how many places a node of four gets at three endpoints that are full of another one's requests, if so much
// is asked of each of the two.
func takenBeside(t *testing.T, own, other int) int {
	taken := 0
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.fleet = gossip.Fleet{Known: 4, Heard: 4, Near: 1}
		b.Heard(&gossip.Report{
			From: "m",
			Loads: []gossip.Load{
				{Endpoint: "e0", Requests: testSlots}, {Endpoint: "e1", Requests: testSlots}, {Endpoint: "e2", Requests: testSlots},
			},
			Asked: []gossip.ServiceDemand{{Service: "s", PlaceMillis: other}},
		})
		b.mu.Lock()
		b.pool("s").demand.holds(time.Now(), 0, own, own, time.Second)
		b.mu.Unlock()
		for {
			ask := testAsk()
			ask.FirstByteDue = time.Now().Add(100 * time.Millisecond)
			if _, err := b.Acquire(t.Context(), ask); err != nil {
				return
			}
			taken++
		}
	})
	return taken
}

// Pattern: a data centre with few nodes, of which more is asked than of the others, when all endpoints are full.
func TestNodeOfWhichMoreIsAskedGetsMorePlaces(t *testing.T) {
	assert.Equal(t, takenBeside(t, 1, 90_000), 2, "half of an equal part, as any node")
	assert.Equal(t, takenBeside(t, 9, 1000), 3, "up to a quarter beyond what each endpoint has")
}

func TestWhatIsAskedIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		place := b.take(testAsk())
		time.Sleep(200 * time.Millisecond)
		place.Release(served(time.Millisecond))
		var report gossip.Report
		b.Fill(&report)
		assert.Equal(t, len(report.Asked), 1)
		assert.Assert(t, report.Asked[0].PlaceMillis > 150 && report.Asked[0].PlaceMillis <= 200, "what was asked fades: %v", report.Asked)
	})
}
