package capacity

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// An endpoint that is leaving gets no new grant, whoever says so, and keeps what
// it has.
func TestLeavingEndpoint(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *cluster, speaker domain.NodeID)
		back  func(c *cluster, speaker domain.NodeID)
	}{
		{"the operator drains it", func(c *cluster, _ domain.NodeID) {
			rows := slices.Clone(c.rows)
			rows[0].Drain = true
			c.configure(rows)
		}, func(c *cluster, _ domain.NodeID) { c.configure(c.rows) }},
		{"the operator gives it no weight", func(c *cluster, _ domain.NodeID) {
			rows := slices.Clone(c.rows)
			rows[0].Weight = 0
			c.configure(rows)
		}, func(c *cluster, _ domain.NodeID) { c.configure(c.rows) }},
		{"a node says so, then takes it back", func(c *cluster, speaker domain.NodeID) {
			c.nodes[speaker].SetEndpointLeaving("e1", true)
		}, func(c *cluster, speaker domain.NodeID) { c.nodes[speaker].SetEndpointLeaving("e1", false) }},
		{"a node says so, then dies", func(c *cluster, speaker domain.NodeID) {
			c.nodes[speaker].SetEndpointLeaving("e1", true)
		}, func(c *cluster, speaker domain.NodeID) {
			c.crash(speaker)
			time.Sleep(DefaultGrantTTL)
		}},
		{"a node says so, and the owner changes", func(c *cluster, speaker domain.NodeID) {
			c.nodes[speaker].SetEndpointLeaving("e1", true)
			owner, _ := c.roles()
			c.crash(owner)
			c.publish()
			time.Sleep(DefaultRenewInterval)
		}, func(c *cluster, speaker domain.NodeID) { c.nodes[speaker].SetEndpointLeaving("e1", false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []config.EndpointRow{engine("e1", "a", 2, "quote"), engine("e2", "a", 2, "quote")}
			inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
				_, others := c.roles()
				holder, speaker := others[0], others[1]
				grant := c.begin(holder, ask(0)).granted(t, 2*time.Millisecond)
				assert.Equal(t, grant.Endpoint(), domain.EndpointID("e1"))
				test.leave(c, speaker)
				time.Sleep(100 * time.Millisecond)
				for range 2 {
					assert.Equal(t, c.begin(holder, ask(0)).granted(t, 2*time.Millisecond).Endpoint(), domain.EndpointID("e2"))
				}
				last := c.begin(holder, ask(0))
				last.waits(t, 30*time.Second)
				assert.Assert(t, !isRevoked(grant))
				test.back(c, speaker)
				assert.Equal(t, last.granted(t, time.Second).Endpoint(), domain.EndpointID("e1"))
			})
		})
	}
}
