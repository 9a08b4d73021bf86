package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/gossip"
)

// countSlotsBeside returns how many slots one of four nodes gets at three endpoints that are full of a peer's
// requests, given the demand at both nodes.
func countSlotsBeside(t *testing.T, own, other int) int {
	taken := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.fleet = gossip.Fleet{Known: 4, Heard: 4, Near: 1}
		f.ApplyReport(&gossip.Report{
			From: "m",
			Loads: []gossip.Load{
				{Endpoint: "e0", Requests: testSlots}, {Endpoint: "e1", Requests: testSlots}, {Endpoint: "e2", Requests: testSlots},
			},
			Asked: []gossip.ServiceDemand{{Service: "s", PlaceMillis: other}},
		})
		f.mu.Lock()
		f.pool("s").demand.addTraffic(time.Now(), 0, own, own, time.Second)
		f.mu.Unlock()
		for {
			request := testRequest()
			request.FirstByteDue = time.Now().Add(100 * time.Millisecond)
			if _, err := f.Acquire(t.Context(), request); err != nil {
				return
			}
			taken++
		}
	})
	return taken
}

// A data centre with few nodes has more demand than the others when all endpoints are full.
func TestNodeWithMoreDemandGetsMorePlaces(t *testing.T) {
	assert.Equal(t, countSlotsBeside(t, 1, 90_000), 2, "half of an equal share, as for any node")
	assert.Equal(t, countSlotsBeside(t, 9, 1000), 3, "up to a quarter more than each endpoint has slots")
}

func TestDemandIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		place := f.take(testRequest())
		time.Sleep(200 * time.Millisecond)
		place.Release(served(time.Millisecond))
		var report gossip.Report
		f.FillReport(&report)
		assert.Equal(t, len(report.Asked), 1)
		assert.Assert(t, report.Asked[0].PlaceMillis > 150 && report.Asked[0].PlaceMillis <= 200, "demand decays: %v", report.Asked)
	})
}
