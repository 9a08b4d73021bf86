package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// isolate partitions nodes from the others and from new tables.
func (c *cluster) isolate(ids ...domain.NodeID) {
	c.holdTables(ids...)
	var rest []domain.NodeID
	for id := range c.nodes {
		in := false
		for _, each := range ids {
			in = in || each == id
		}
		if !in {
			rest = append(rest, id)
		}
	}
	c.network.Partition(ids, rest)
}

func TestPartitionBetweenDataCentres(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		far, k, other := c.start("far", "catania"), key(1), key(2)
		claim := far.mustClaim(t, k)
		c.isolate("far")
		assert.ErrorIs(t, far.commit(claim), ErrUnknown)
		_, err := far.dispatch(other)
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Equal(t, c.nodes[nodeName(0)].verdict(t, k), VerdictAttached)
		c.nodes[nodeName(0)].mustClaim(t, other)
		c.network.HealAll()
		c.waitSettled()
		_, err = c.nodes[nodeName(0)].dispatch(k)
		assert.NilError(t, err)
	})
}

// A member that was removed by mistake and is partitioned does not know of its removal:
// it can't commit, and does not answer that a request was not run.
func TestIsolatedMemberDecidesNothing(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		k, other := c.keyAt(nodeName(0)), c.keyAt(nodeName(0))
		c.isolate(nodeName(0))
		c.remove(nodeName(0))
		c.waitSettled()
		_, err := c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
		claim := c.nodes[nodeName(0)].mustClaim(t, k)
		assert.ErrorIs(t, c.nodes[nodeName(0)].Release(t.Context(), claim), ErrUnknown)
		assert.ErrorIs(t, c.nodes[nodeName(0)].commit(c.nodes[nodeName(0)].mustClaim(t, other)), ErrUnknown)
	})
}

// Two members were removed by mistake and share a partition: each is the other's
// witness, so that only the fence time-out stops them.
func TestIsolatedPairIsFenced(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		a, b, k := c.nodes[nodeName(0)], c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		c.isolate(nodeName(0), nodeName(1))
		c.remove(nodeName(0))
		c.remove(nodeName(1))
		time.Sleep(DefaultRetention + 2*DefaultFenceTimeout + 2*time.Second)
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
		_, err = b.dispatch(k)
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Assert(t, a.Dump().Fenced)
	})
}

// The only member was removed by mistake and not notified: it checks the store before
// it goes on.
func TestOnlyMemberChecksStore(t *testing.T) {
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		old, k := c.nodes[nodeName(0)], key(1)
		c.isolate(nodeName(0))
		far := c.startOutside("far", "catania")
		c.edit(far, Remove(old.member))
		next := c.start(nodeName(1), testDataCentre)
		time.Sleep(DefaultRetention + 2*DefaultFenceTimeout + 2*time.Second)
		_, err := next.dispatch(k)
		assert.NilError(t, err)
		claim, err := old.Claim(t.Context(), k, Fingerprint{1})
		assert.Assert(t, err != nil || claim.Verdict == VerdictAttached)
	})
}

// A node without the table of another data centre requests it from that data centre's
// members, and again when the home it knows has ended. A record lost by all its members
// is restored by its holder's Finish.
func TestForeignTableLookup(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		c.mu.Lock()
		c.heldTables["far"] = nil
		c.mu.Unlock()
		far := c.startOutside("far", "catania")
		k, lost := c.keyBetween(nodeName(0), nodeName(1)), c.keyBetween(nodeName(0), nodeName(1))
		_, err := far.dispatch(k)
		assert.NilError(t, err)
		claim, err := far.dispatch(lost)
		assert.NilError(t, err)
		c.crash(nodeName(0))
		c.crash(nodeName(1))
		c.remove(nodeName(0))
		c.remove(nodeName(1))
		c.waitSettled()
		_, err = c.nodes[nodeName(2)].Claim(t.Context(), lost, Fingerprint{1})
		assert.ErrorIs(t, err, ErrUnknown)
		assert.NilError(t, far.Finish(t.Context(), claim, true))
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, lost), VerdictFinished)
	})
}
