package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// TestPartition partitions Palermo from the other data centres while the store is
// down. Every data centre must still serve the keys that it decides about, and no key
// may be executed twice when it is sent on both sides.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, deployment.Cucine(), engine.Options{Speed: engine.GenerationA()})
		defer c.close()
		for _, a := range c.members {
			for _, b := range c.members {
				if (a.DataCentre == "palermo") != (b.DataCentre == "palermo") {
					c.network.Cut(a.Node, b.Node)
				}
			}
		}
		c.store.SetDown(true)

		const keys = 30
		answered, unknown := 0, 0
		for i := range keys {
			key := fmt.Sprintf("key-%d", i)
			served := false
			for _, node := range []domain.NodeID{"palermo-1", "catania-1", "palermo-2", "siracusa-1"} {
				response := c.chat(context.Background(), node, "showrooms", key, "quote "+key, 5)
				if response.Code == http.StatusOK {
					served = true
					continue
				}
				assert.Equal(t, decodeProblem(t, response).Outcome, domain.OutcomeUnknown, response.Body.String())
				unknown++
			}
			if served {
				answered++
			}
		}
		t.Logf("%d of %d keys answered on one side, %d of %d attempts with unknown outcome", answered, keys, unknown, 4*keys)
		assert.Equal(t, answered, keys)
		c.assertAtMostOnce()

		for _, m := range c.members {
			minted := c.chat(context.Background(), m.Node, "showrooms", "", "without a key", 5)
			assert.Equal(t, minted.Code, http.StatusOK, "%s: %s", m.Node, minted.Body)
		}

		c.network.HealAll()
		c.store.SetDown(false)
		for i := range keys {
			key := fmt.Sprintf("key-%d", i)
			response := c.chat(context.Background(), "catania-2", "showrooms", key, "quote "+key, 5)
			assert.Equal(t, response.Code, http.StatusOK, response.Body.String())
		}
		c.assertAtMostOnce()
	})
}
