package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// A member whose first questions after a change of the table got no answer asks again at once, though the others have
// settled the table meanwhile: until it hears of one of them it decides about no key. Which of two members settles it
// follows from their names, so that several newcomers are tried.
func TestUnansweredConfirmationIsAskedAgainSoon(t *testing.T) {
	for _, newcomer := range []domain.NodeID{nodeName(1), nodeName(2), nodeName(3), nodeName(4)} {
		t.Run(string(newcomer), func(t *testing.T) {
			inCluster(t, 1, func(t *testing.T, c *cluster) {
				first := c.nodes[nodeName(0)]
				c.network.DropNext(nodeName(0), newcomer, methodConfirm, 3)
				c.start(newcomer, testDataCentre)
				time.Sleep(2 * time.Second)
				assert.Equal(t, first.Dump().Settled, first.epoch())
				assert.Assert(t, !first.Dump().Fenced, "has heard of nobody after two seconds")
			})
		})
	}
}

// Alone in the table, a member decides once it has asked the store for a later table, and is not ready before that.
func TestLoneMemberIsReadyOnceItHasAskedTheStore(t *testing.T) {
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		lone := c.nodes[nodeName(0)]
		assert.Assert(t, lone.Ready())
		lone.mu.Lock()
		lone.storeAsked = time.Time{}
		lone.mu.Unlock()
		assert.Assert(t, !lone.Ready())
		time.Sleep(DefaultFenceTimeout / 2)
		assert.Assert(t, lone.Ready())
	})
}
