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

// longAnswer is a number of tokens that takes an engine of either generation
// several seconds.
const longAnswer = 300

// TestCallerComesBack breaks something while a long request is in progress, and
// then sends it again to another node.
func TestCallerComesBack(t *testing.T) {
	cases := []struct {
		name string
		// fault happens 2 s after the request was sent to node first.
		fault func(c *cluster, first domain.NodeID)
		// again is when the caller comes back, after the fault.
		again time.Duration
	}{
		{"caller hangs up", func(*cluster, domain.NodeID) {}, time.Second},
		{"node crashes and is known to be gone", func(c *cluster, first domain.NodeID) {
			member := c.nodes[first].self
			c.crash(first)
			c.setStatus(member, membership.StatusGone)
		}, 3 * time.Second},
		{"node crashes and comes back as another life", func(c *cluster, first domain.NodeID) {
			member := c.nodes[first].self
			c.crash(first)
			member.Incarnation++
			c.start(member)
			c.setStatus(member, membership.StatusAlive)
		}, 3 * time.Second},
		{"node is paused and wakes late", func(c *cluster, first domain.NodeID) {
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

				ctx, hangUp := context.WithCancel(context.Background())
				go c.chat(ctx, "palermo-1", "showrooms", "key", "the whole quote", longAnswer)
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(c.runs()), 2, "the request is not running")
				hangUp()
				test.fault(c, "palermo-1")
				time.Sleep(test.again)

				got := c.chat(context.Background(), "palermo-2", "showrooms", "key", "the whole quote", longAnswer)
				assert.Equal(t, got.Code, http.StatusOK, got.Body.String())
				assert.Equal(t, content(t, got), content(t, want))
				c.assertAtMostOnce()
			})
		})
	}
}
