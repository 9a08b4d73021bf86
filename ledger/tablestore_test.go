package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// A lost acknowledgement is resolved by reading again, and a store restored from an old
// copy is brought forward from the latest known table.
func TestTableStoreHandlesLostAckAndRestore(t *testing.T) {
	s := memstore.New(memstore.Options{})
	member := func(i int) domain.Member {
		return domain.Member{Node: nodeName(i), Incarnation: 1, DataCentre: testDataCentre}
	}
	tables := NewTableStore(s.NewClient(), testDataCentre, Options{})
	s.DropNextResponses(1)
	first, err := tables.Edit(t.Context(), Join(member(0)))
	assert.NilError(t, err)
	assert.Equal(t, first.Epoch, uint64(1))
	old := s.Save()
	_, err = tables.Edit(t.Context(), Join(member(1)))
	assert.NilError(t, err)
	s.Restore(old)
	third, err := tables.Edit(t.Context(), Join(member(2)))
	assert.NilError(t, err)
	assert.Equal(t, third.Epoch, uint64(3))
	assert.Assert(t, third.Contains(member(1)))
	stored, _, err := tables.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, stored.Epoch, uint64(3))
}

func TestOldTableIsIgnored(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		n, old := c.nodes[nodeName(0)], c.latest()
		c.start(nodeName(3), testDataCentre)
		c.waitSettled()
		n.adopt(old)
		assert.Equal(t, n.epoch(), c.latest().Epoch)
	})
}

// A witness that did not answer is tried last from then on, so that only one commit
// waits for it.
func TestUnresponsiveWitnessIsTriedLast(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		home := c.nodes[nodeName(0)]
		var waits []time.Duration
		c.crash(nodeName(1))
		for range 2 {
			claim := home.mustClaim(t, c.keyBetween(nodeName(0), nodeName(1)))
			start := time.Now()
			assert.NilError(t, home.commit(claim))
			waits = append(waits, time.Since(start))
		}
		assert.Assert(t, waits[0] >= home.options.nestedTimeout())
		assert.Assert(t, waits[1] < home.options.nestedTimeout())
	})
}
