package agreed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// runNodes runs a test in a synctest bubble with count nodes that have no table yet.
func runNodes(t *testing.T, count int, test func(t *testing.T, nodes []*Service)) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		defer network.Close()
		platform := memstore.New(memstore.Options{})
		view := &membership.Snapshot{}
		for i := range count {
			m := domain.Member{Node: domain.NodeID(rune('a' + i)), Incarnation: 1, DataCentre: "palermo"}
			view.Peers = append(view.Peers, membership.Peer{Member: m})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		var nodes []*Service
		for _, p := range view.Peers {
			documents, err := document.New(document.Options{Transport: network.Node(p.Member), Members: membership.NewStaticView(view), Store: platform.NewClient()})
			assert.NilError(t, err)
			node, err := New(documents, Options{})
			assert.NilError(t, err)
			group.Go(func() error { return documents.Run(ctx) })
			nodes = append(nodes, node)
		}
		test(t, nodes)
		cancel()
		assert.NilError(t, group.Wait())
	})
}

func table(weights ...int) config.Table {
	t := config.Table{Tiers: []config.TierRow{{Name: "gold", DeadlineMillis: 1000}}}
	for i, weight := range weights {
		t.Organisations = append(t.Organisations, config.OrganisationRow{
			ID: domain.OrganisationID(rune('a' + i)), Tier: "gold", Weight: weight,
		})
	}
	return t
}

func edit() document.Edit { return document.Edit{ID: document.NewEditID(), Author: "anna"} }

func TestConcurrentEditsMergeOrConflict(t *testing.T) {
	runNodes(t, 3, func(t *testing.T, nodes []*Service) {
		base := table(1, 1, 1)
		_, err := nodes[0].Edit(t.Context(), edit(), config.Diff(config.Table{}, base))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		wanted := []config.Table{table(5, 1, 1), table(1, 6, 1), table(7, 1, 1)}
		errs := make([]error, len(nodes))
		var group errgroup.Group
		for i, node := range nodes {
			group.Go(func() error {
				_, errs[i] = node.Edit(t.Context(), edit(), config.Diff(base, wanted[i]))
				return nil
			})
		}
		_ = group.Wait()
		assert.NilError(t, errs[1])
		won, lost := 0, 2
		if errs[0] != nil {
			won, lost = 2, 0
		}
		assert.NilError(t, errs[won])
		var conflicts config.Conflicts
		assert.Assert(t, errors.As(errs[lost], &conflicts))
		assert.ErrorIs(t, errs[lost], document.ErrNotAccepted)
		assert.Equal(t, conflicts[0].Key, "a")
		assert.Equal(t, conflicts[0].Column, "weight")
		time.Sleep(time.Second)
		for _, node := range nodes {
			rows := node.Current().Organisations
			assert.Equal(t, rows["a"].Weight, wanted[won].Organisations[0].Weight)
			assert.Equal(t, rows["b"].Weight, 6)
		}
	})
}

func TestInvalidEditIsRejected(t *testing.T) {
	runNodes(t, 2, func(t *testing.T, nodes []*Service) {
		_, err := nodes[0].Edit(t.Context(), edit(), config.Diff(config.Table{}, table(1, 0)))
		var problems config.Problems
		assert.Assert(t, errors.As(err, &problems))
		assert.Equal(t, problems[0].Key, "b")
		// Each change is valid by itself, but not the two together.
		base := table(1)
		_, err = nodes[0].Edit(t.Context(), edit(), config.Diff(config.Table{}, base))
		assert.NilError(t, err)
		without := config.Diff(base, config.Table{})
		_, err = nodes[1].Edit(t.Context(), edit(), without[1:])
		assert.NilError(t, err)
		_, err = nodes[1].Edit(t.Context(), edit(), without[:1])
		assert.NilError(t, err)
		_, err = nodes[0].Edit(t.Context(), edit(), config.Diff(table(1), table(1, 2)))
		assert.Assert(t, errors.As(err, &problems))
		assert.Equal(t, problems[0].Column, "tier")
	})
}

func TestRollbackCreatesNewGeneration(t *testing.T) {
	runNodes(t, 2, func(t *testing.T, nodes []*Service) {
		for _, weight := range []int{1, 2, 3} {
			now, _, err := nodes[0].Table(t.Context(), 0)
			assert.NilError(t, err)
			_, err = nodes[0].Edit(t.Context(), edit(), config.Diff(now, table(weight)))
			assert.NilError(t, err)
		}
		_, err := nodes[1].Rollback(t.Context(), edit(), 1, 2)
		assert.ErrorIs(t, err, ErrGenerationMismatch)
		version, err := nodes[1].Rollback(t.Context(), edit(), 1, 3)
		assert.NilError(t, err)
		assert.Equal(t, version.Generation, uint64(4))
		time.Sleep(time.Second)
		for _, node := range nodes {
			assert.Equal(t, node.Current().Revision, config.Revision(4))
			assert.Equal(t, node.Current().Organisations["a"].Weight, 1)
		}
		history, err := nodes[0].History(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(history), 4)
		_, err = nodes[0].Rollback(t.Context(), edit(), 9, 0)
		assert.ErrorIs(t, err, document.ErrNotAccepted)
	})
}
