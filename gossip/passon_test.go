package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// toldLater returns who passed changes on to the member in the next second.
func (m *member) toldLater() map[domain.NodeID]bool {
	m.mu.Lock()
	clear(m.tellers)
	m.mu.Unlock()
	time.Sleep(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tellers
}

func TestOneNodeOfALargeDataCentrePassesChangesOnToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(t, newNetwork(), 2*passOnFrom, 2)
		time.Sleep(2 * time.Second)
		for i, m := range members {
			passes := i < 2
			assert.Equal(t, m.ForwardsChanges(), passes)
			assert.Equal(t, m.HasForwarder(), !passes)
		}
		assert.DeepEqual(t, members[5].toldLater(), map[domain.NodeID]bool{"n001": true})
	})
}

func TestNobodyIsReliedOnAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		members := fleet(t, net, passOnFrom, 1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, members[3].HasForwarder())
		net.setCut("n000", "n003", true)
		time.Sleep(passOnFresh + 200*time.Millisecond)
		assert.Assert(t, !members[3].HasForwarder())
	})
}

func TestSmallDataCentresFollowTheStoreEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(t, newNetwork(), passOnFrom-1, 1)
		time.Sleep(2 * time.Second)
		for _, m := range members {
			assert.Assert(t, !m.ForwardsChanges() && !m.HasForwarder())
		}
	})
}
