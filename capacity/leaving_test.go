package capacity

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// An endpoint that is leaving gets no new grants, however it was marked, and keeps the
// existing ones.
func TestLeavingEndpoint(t *testing.T) {
	tests := []struct {
		name   string
		mark   func(c *cluster, marker domain.NodeID)
		unmark func(c *cluster, marker domain.NodeID)
	}{
		{"drain set in the configuration", func(c *cluster, _ domain.NodeID) {
			rows := slices.Clone(c.rows)
			rows[0].Drain = true
			c.configure(rows)
		}, func(c *cluster, _ domain.NodeID) { c.configure(c.rows) }},
		{"weight 0 in the configuration", func(c *cluster, _ domain.NodeID) {
			rows := slices.Clone(c.rows)
			rows[0].Weight = 0
			c.configure(rows)
		}, func(c *cluster, _ domain.NodeID) { c.configure(c.rows) }},
		{"marked by a node that removes the mark", func(c *cluster, marker domain.NodeID) {
			c.nodes[marker].SetEndpointLeaving("e1", true)
		}, func(c *cluster, marker domain.NodeID) { c.nodes[marker].SetEndpointLeaving("e1", false) }},
		{"marked by a node that crashes", func(c *cluster, marker domain.NodeID) {
			c.nodes[marker].SetEndpointLeaving("e1", true)
		}, func(c *cluster, marker domain.NodeID) {
			c.crash(marker)
			time.Sleep(DefaultGrantTTL)
		}},
		{"marked by a node, and the owner changes", func(c *cluster, marker domain.NodeID) {
			c.nodes[marker].SetEndpointLeaving("e1", true)
			owner, _ := c.roles()
			c.crash(owner)
			c.publish()
			time.Sleep(DefaultRenewInterval)
		}, func(c *cluster, marker domain.NodeID) { c.nodes[marker].SetEndpointLeaving("e1", false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []config.EndpointRow{engine("e1", "a", 2, "quote"), engine("e2", "a", 2, "quote")}
			runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
				_, others := c.roles()
				holder, marker := others[0], others[1]
				grant := c.acquire(holder, newRequest(0)).requireGranted(t, 2*time.Millisecond)
				assert.Equal(t, grant.Endpoint(), domain.EndpointID("e1"))
				test.mark(c, marker)
				time.Sleep(100 * time.Millisecond)
				for range 2 {
					assert.Equal(t, c.acquire(holder, newRequest(0)).requireGranted(t, 2*time.Millisecond).Endpoint(), domain.EndpointID("e2"))
				}
				last := c.acquire(holder, newRequest(0))
				last.requireWaiting(t, 30*time.Second)
				assert.Assert(t, !isRevoked(grant))
				test.unmark(c, marker)
				assert.Equal(t, last.requireGranted(t, time.Second).Endpoint(), domain.EndpointID("e1"))
			})
		})
	}
}
