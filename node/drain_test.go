package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// TestDrain drains a node while requests are in progress on it and on its peers.
// Requests in progress must complete, new ones must be refused as not run, and the
// ledger records must be handed over.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, deployment.Cucine(), engine.Options{Speed: engine.GenerationB()})
		defer c.close()
		const requests = 12
		var group sync.WaitGroup
		answers := make([]*httptest.ResponseRecorder, requests)
		for i := range requests {
			node := c.members[i%2].Node
			group.Go(func() {
				key := fmt.Sprintf("key-%d", i)
				answers[i] = c.chat(context.Background(), node, "showrooms", key, "quote "+key, longAnswer)
			})
		}
		time.Sleep(time.Second)
		assert.NilError(t, c.nodes["palermo-1"].Ready())
		drained := make(chan error)
		go func() { drained <- c.nodes["palermo-1"].Drain(context.Background()) }()
		time.Sleep(10 * time.Millisecond)
		assert.ErrorIs(t, c.nodes["palermo-1"].Ready(), ErrDraining)

		refused := c.chat(context.Background(), "palermo-1", "showrooms", "late", "late", 10)
		assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
		assert.Equal(t, decodeProblem(t, refused).Outcome, domain.OutcomeNotRun)

		assert.NilError(t, <-drained)
		group.Wait()
		for i, a := range answers {
			assert.Equal(t, a.Code, http.StatusOK, "request %d: %s", i, a.Body)
		}
		time.Sleep(time.Second)
		table := c.nodes["palermo-2"].tables.Table("palermo")
		assert.Equal(t, len(table.Members), 2)
		assert.Check(t, !table.Departed[0].Lost, "the ledger records were not handed over")

		again := c.chat(context.Background(), "palermo-2", "showrooms", "late", "late", 10)
		assert.Equal(t, again.Code, http.StatusOK, "retry of a request refused as not run: %s", again.Body)
		c.assertAtMostOnce()
	})
}
