package gossip

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// forwardersInNextSecond returns the nodes that forward endpoint changes to the member in the next second.
func (m *member) forwardersInNextSecond() map[domain.NodeID]bool {
	m.mu.Lock()
	clear(m.forwarders)
	m.mu.Unlock()
	time.Sleep(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.forwarders)
}

func TestLargeDataCentreHasOneForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 2*minForwardingNodes, 2)
		time.Sleep(2 * time.Second)
		for i, m := range members {
			passes := i < 2
			assert.Equal(t, m.ForwardsChanges(), passes)
			assert.Equal(t, m.HasForwarder(), !passes)
		}
		assert.DeepEqual(t, members[5].forwardersInNextSecond(), map[domain.NodeID]bool{"n001": true})
	})
}

func TestSilentForwarderIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		members := startFleet(t, net, minForwardingNodes, 1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, members[3].HasForwarder())
		net.setCut("n000", "n003", true)
		time.Sleep(forwarderTimeout + 200*time.Millisecond)
		assert.Assert(t, !members[3].HasForwarder())
	})
}

func TestSmallDataCentreHasNoForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), minForwardingNodes-1, 1)
		time.Sleep(2 * time.Second)
		for _, m := range members {
			assert.Assert(t, !m.ForwardsChanges() && !m.HasForwarder())
		}
	})
}
