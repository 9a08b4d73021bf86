package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// inCluster runs a test on a cluster in virtual time.
func inCluster(t *testing.T, size int, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, size)
		defer c.close()
		test(t, c)
	})
}

func TestRequestLifecycle(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		for home := range 7 {
			for entry := range 7 {
				k := c.keyAt(nodeName(home))
				n, other := c.nodes[nodeName(entry)], c.nodes[nodeName((entry+1)%7)]
				claim, err := n.dispatch(k)
				assert.NilError(t, err)
				assert.Equal(t, claim.Verdict, VerdictGranted)

				again, err := other.dispatch(k)
				assert.NilError(t, err)
				assert.Equal(t, again.Verdict, VerdictAttached)
				assert.Equal(t, again.Holder, n.member)

				assert.NilError(t, n.Finish(t.Context(), claim, true))
				again, err = other.dispatch(k)
				assert.NilError(t, err)
				assert.Equal(t, again.Verdict, VerdictFinished)

				_, err = other.Claim(t.Context(), k, Fingerprint{2})
				assert.ErrorIs(t, err, ErrFingerprintMismatch)
			}
		}
	})
}

// A released claim leaves the key free, whether it is released before its commit or
// after one without a dispatch, and whether the holder is the home, another member or
// outside the table.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		far := c.startOutside("far", "catania")
		for _, n := range []*testNode{c.nodes[nodeName(0)], c.nodes[nodeName(1)], far} {
			for _, committed := range []bool{false, true} {
				k := c.keyAt(nodeName(0))
				claim := n.mustClaim(t, k)
				if committed {
					assert.NilError(t, n.Commit(t.Context(), claim, "runner-1"))
				}
				assert.NilError(t, n.Release(t.Context(), claim))
				assert.ErrorIs(t, n.commit(claim), ErrRevoked)
				_, _, err := c.nodes[nodeName(2)].Lookup(t.Context(), k)
				assert.ErrorIs(t, err, ErrNotFound)
				assert.NilError(t, c.nodes[nodeName(2)].commit(c.nodes[nodeName(2)].mustClaim(t, k)))
			}
		}
	})
}

func TestRecordsExpire(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		for i := range 3 {
			k := c.keyAt(nodeName(i))
			claim, err := c.nodes[nodeName(1)].dispatch(k)
			assert.NilError(t, err)
			assert.NilError(t, c.nodes[nodeName(1)].Finish(t.Context(), claim, true))
		}
		time.Sleep(DefaultRetention - time.Minute)
		assert.Equal(t, c.nodes[nodeName(1)].Dump().Records, 3)
		time.Sleep(3 * time.Minute)
		for i := range 3 {
			assert.Equal(t, c.nodes[nodeName(i)].Dump().Records, 0)
		}
	})
}

func TestCommitIsStoredOnTwoMembers(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		for entry := range 7 {
			k := c.keyAt(nodeName(0))
			_, err := c.nodes[nodeName(entry)].dispatch(k)
			assert.NilError(t, err)
			copies := 0
			for _, n := range c.nodes {
				if rec, ok := n.records.get(hashKey(k)); ok && rec.state == StateCommitted {
					copies++
				}
			}
			assert.Equal(t, copies, 2, "entry %d", entry)
		}
	})
}

func TestHomeCrash(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		home, entry, other := nodeName(0), c.nodes[nodeName(1)], c.nodes[nodeName(2)]
		committed, claimed, outside := c.keyAt(home), c.keyAt(home), c.keyAt(home)
		_, err := entry.dispatch(committed)
		assert.NilError(t, err)
		claim, err := entry.Claim(t.Context(), claimed, Fingerprint{1})
		assert.NilError(t, err)
		far := c.start("far", "catania")
		_, err = far.dispatch(outside)
		assert.NilError(t, err)
		c.crash(home)

		_, err = other.dispatch(committed)
		assert.ErrorIs(t, err, ErrUnknown)
		c.remove(home)
		c.waitSettled()
		for _, i := range []int{0, 1} {
			k := committed
			if i == 1 {
				k = claimed
			}
			again, err := other.dispatch(k)
			assert.NilError(t, err)
			assert.Equal(t, again.Verdict, VerdictAttached)
			assert.Equal(t, again.Holder, entry.member)
		}
		again, err := other.dispatch(outside)
		assert.NilError(t, err)
		assert.Equal(t, again.Holder, far.member)
		assert.NilError(t, entry.commit(claim))
		fresh, err := other.dispatch(key(-1))
		assert.NilError(t, err)
		assert.Equal(t, fresh.Verdict, VerdictGranted)
	})
}

func TestNodeScopeNeedsNoMessages(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		n := c.nodes[nodeName(0)]
		k := key(1)
		k.Scope.Kind, k.Scope.DataCentre = 1, ""
		k.Scope.Node, k.Scope.Incarnation = n.member.Node, n.member.Incarnation
		c.network.ResetCounts()
		claim, err := n.dispatch(k)
		assert.NilError(t, err)
		assert.NilError(t, n.Finish(context.Background(), claim, true))
		assert.Equal(t, c.network.Total("").Messages, 0)
		again, err := c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
		assert.Equal(t, again.Verdict, VerdictFinished)
		c.crash(n.member.Node)
		_, err = c.nodes[nodeName(1)].dispatch(k)
		assert.ErrorIs(t, err, ErrUnknown)
	})
}
