package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// isolate cuts nodes off from the others and from new tables.
func (c *cluster) isolate(ids ...domain.NodeID) {
	c.hold(ids...)
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
		claim := far.grant(t, k)
		c.isolate("far")
		assert.ErrorIs(t, far.commit(claim), ErrUnknown)
		_, err := far.dispatch(other)
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Equal(t, c.nodes[nodeName(0)].verdict(t, k), VerdictAttached)
		c.nodes[nodeName(0)].grant(t, other)
		c.network.HealAll()
		c.settle()
		_, err = c.nodes[nodeName(0)].dispatch(k)
		assert.NilError(t, err)
	})
}

// A member was taken out by mistake, knows nothing of it and is cut off: it can't
// commit, and doesn't tell that a request was not run.
func TestCutOffMemberTellsNothing(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		k, other := c.keyAt(nodeName(0)), c.keyAt(nodeName(0))
		c.isolate(nodeName(0))
		c.remove(nodeName(0))
		c.settle()
		_, err := c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
		claim := c.nodes[nodeName(0)].grant(t, k)
		assert.ErrorIs(t, c.nodes[nodeName(0)].Release(t.Context(), claim), ErrUnknown)
		assert.ErrorIs(t, c.nodes[nodeName(0)].commit(c.nodes[nodeName(0)].grant(t, other)), ErrUnknown)
	})
}

// Two members were taken out by mistake and are cut off together: each is the
// other's witness, and only time ends what they may do.
func TestCutOffPairIsFenced(t *testing.T) {
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

// The only member was taken out by mistake while nothing told it: it asks the store
// before it goes on.
func TestOnlyMemberAsksTheStore(t *testing.T) {
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

// A node that follows no table of another data centre asks its members, and again
// when the home that it knows is gone. A record that all its keepers lost comes
// back with its end.
func TestOtherDataCentresTable(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		c.mu.Lock()
		c.held["far"] = nil
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
		c.settle()
		_, err = c.nodes[nodeName(2)].Claim(t.Context(), lost, Fingerprint{1})
		assert.ErrorIs(t, err, ErrUnknown)
		assert.NilError(t, far.Finish(t.Context(), claim, true))
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, lost), VerdictFinished)
	})
}
