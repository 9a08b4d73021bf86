package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// A member whose first confirm calls after a table change were lost repeats them soon,
// although the others have settled the table meanwhile: until one of them has answered
// it decides about no key. Which member settles the table depends on the node names, so
// several newcomers are tried.
func TestUnansweredConfirmationIsRetriedSoon(t *testing.T) {
	for _, newcomer := range []domain.NodeID{nodeName(1), nodeName(2), nodeName(3), nodeName(4)} {
		t.Run(string(newcomer), func(t *testing.T) {
			inCluster(t, 1, func(t *testing.T, c *cluster) {
				first := c.nodes[nodeName(0)]
				c.network.DropNext(nodeName(0), newcomer, methodConfirm, 3)
				c.start(newcomer, testDataCentre)
				time.Sleep(2 * time.Second)
				assert.Equal(t, first.Dump().Settled, first.epoch())
				assert.Assert(t, !first.Dump().Fenced, "no member has confirmed the epoch within 2 s")
			})
		})
	}
}

// The only member of a table decides once it has checked the store for a later table,
// and is not ready before that.
func TestOnlyMemberIsReadyAfterStoreCheck(t *testing.T) {
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		lone := c.nodes[nodeName(0)]
		assert.Assert(t, lone.Ready())
		lone.mu.Lock()
		lone.storeCheckedAt = time.Time{}
		lone.mu.Unlock()
		assert.Assert(t, !lone.Ready())
		time.Sleep(DefaultFenceTimeout / 2)
		assert.Assert(t, lone.Ready())
	})
}
