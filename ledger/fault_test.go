package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGracefulRestartLosesNothing(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		outside := c.start("far", "catania")
		kept := c.keyAt(nodeName(0))
		claim, err := outside.dispatch(kept)
		assert.NilError(t, err)
		assert.NilError(t, outside.Finish(t.Context(), claim, true))
		for i := range 7 {
			c.leave(nodeName(i))
			c.start(nodeName(i), testDataCentre)
			c.settle()
			again, err := c.anyBut(nodeName(i)).dispatch(kept)
			assert.NilError(t, err)
			assert.Equal(t, again.Verdict, VerdictFinished)
			fresh, err := c.nodes[nodeName(i)].dispatch(key(-1 - i))
			assert.NilError(t, err)
			assert.Equal(t, fresh.Verdict, VerdictGranted)
		}
	})
}

func TestMemberWithOldTableIsRefused(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		home := nodeName(0)
		k := c.keyAt(home)
		n := c.nodes[home]
		claim, err := n.Claim(t.Context(), k, Fingerprint{1})
		assert.NilError(t, err)
		c.hold(home)
		c.remove(home)
		c.settle()
		assert.ErrorIs(t, n.commit(claim), ErrRevoked)
		c.release(home)
		again, err := c.anyBut(home).dispatch(k)
		assert.NilError(t, err)
		assert.Equal(t, again.Verdict, VerdictGranted)
	})
}
