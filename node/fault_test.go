package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// longAnswer is an answer length, in tokens, that takes an engine of either
// generation several seconds.
const longAnswer = 300

// TestCallerRetriesAfterFault injects a fault while a long request is in progress
// and then sends the request again, with the same key, to another node. The retry
// must get the complete answer, and the request must not be executed twice.
func TestCallerRetriesAfterFault(t *testing.T) {
	cases := []struct {
		name string
		// fault is injected 2 s after the request was sent to node first.
		fault func(c *cluster, first domain.NodeID)
		// retryAfter is the time from the fault to the retry.
		retryAfter time.Duration
	}{
		{"caller disconnects", func(*cluster, domain.NodeID) {}, time.Second},
		{"node crashes and is marked as gone", func(c *cluster, first domain.NodeID) {
			member := c.nodes[first].self
			c.crash(first)
			c.setStatus(member, membership.StatusGone)
		}, 3 * time.Second},
		{"node crashes and restarts", func(c *cluster, first domain.NodeID) {
			member := c.nodes[first].self
			c.crash(first)
			member.Incarnation++
			c.start(member)
			c.setStatus(member, membership.StatusAlive)
		}, 3 * time.Second},
		{"node is paused and resumes late", func(c *cluster, first domain.NodeID) {
			c.pause(first)
			time.AfterFunc(5*time.Second, func() { c.resume(first) })
		}, 6 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, deployment.Cucine(), engine.Options{Speed: engine.GenerationB()})
				defer c.close()
				want := c.chat(context.Background(), "catania-1", "showrooms", "reference", "the whole quote", longAnswer)
				assert.Equal(t, want.Code, http.StatusOK)

				ctx, disconnect := context.WithCancel(context.Background())
				go c.chat(ctx, "palermo-1", "showrooms", "key", "the whole quote", longAnswer)
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(c.runs()), 2, "the request is not running")
				disconnect()
				test.fault(c, "palermo-1")
				time.Sleep(test.retryAfter)

				got := c.chat(context.Background(), "palermo-2", "showrooms", "key", "the whole quote", longAnswer)
				assert.Equal(t, got.Code, http.StatusOK, got.Body.String())
				assert.Equal(t, content(t, got), content(t, want))
				c.assertAtMostOnce()
			})
		})
	}
}
