package node

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// TestLeaveBeforeJoin leaves a table that does not exist yet, as a node does that is
// stopped before it has joined. Nothing may be written.
func TestLeaveBeforeJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		defer network.Close()
		self := domain.Member{Node: "a", Incarnation: 1, DataCentre: "d"}
		store := memstore.New(memstore.Options{})
		documents, err := document.New(document.Options{
			Transport: network.Node(self),
			Members:   membership.NewStaticView(membership.AllAlive(self, self)),
			Store:     store.NewClient(),
		})
		assert.NilError(t, err)
		tables, err := newTables(documents, self, 0)
		assert.NilError(t, err)

		for _, change := range []ledger.TableChange{ledger.Leave(self), ledger.Remove(self)} {
			table, err := tables.Edit(context.Background(), change)
			assert.NilError(t, err)
			assert.Equal(t, len(table.Members), 0)
		}
		assert.Equal(t, store.Counts().Writes, uint64(0))

		_, err = tables.Edit(context.Background(), ledger.Join(self))
		assert.NilError(t, err)
		assert.Check(t, tables.Table("d").Contains(self))
	})
}
