package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// TestEachKeyRunsOnce sends each request to every node in turn. It must be executed
// once, and all nodes must return the same answer.
func TestEachKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, deployment.Cucine(), engine.Options{Speed: engine.GenerationA()})
		defer c.close()
		for i := range 5 {
			key := fmt.Sprintf("key-%d", i)
			var first string
			for _, m := range c.members {
				response := c.chat(context.Background(), m.Node, "showrooms", key, "quote for kitchen "+key, 20)
				assert.Equal(t, response.Code, http.StatusOK, "%s at %s: %s", key, m.Node, response.Body)
				if first == "" {
					first = response.Body.String()
				}
				assert.Equal(t, response.Body.String(), first)
			}
		}
		assert.Equal(t, len(c.runs()), 5)
		c.assertAtMostOnce()
	})
}

// TestNoStoreWritePerRequest logs the store calls made by the start of a deployment,
// and fails if requests cause writes to the store.
func TestNoStoreWritePerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, deployment.Cucine(), engine.Options{Speed: engine.GenerationA()})
		defer c.close()
		time.Sleep(time.Minute)
		before := c.store.Counts()
		t.Logf("store calls after a start: %+v", before)
		for i := range 10 {
			response := c.chat(context.Background(), "palermo-1", "showrooms", fmt.Sprint(i), "hello", 5)
			assert.Equal(t, response.Code, http.StatusOK)
		}
		assert.Equal(t, c.store.Counts().Writes, before.Writes, "a request was written to the store")
	})
}
