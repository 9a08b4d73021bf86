package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

func TestStrictTierOrderAcrossNodes(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	runCluster(t, rows, Options{}, []domain.NodeID{"a1", "a2", "a3"}, func(t *testing.T, c *cluster) {
		first := c.acquire("a1", newRequest(2)).requireGranted(t, time.Millisecond)
		bronze := c.acquire("a1", newRequest(2))
		time.Sleep(time.Millisecond)
		silver := c.acquire("a2", newRequest(1))
		time.Sleep(time.Millisecond)
		gold := c.acquire("a3", newRequest(0))
		gold.requireWaiting(t, 10*time.Millisecond)
		first.Release(completedResult)
		held := gold.requireGranted(t, time.Millisecond)
		silver.requireWaiting(t, 0)
		held.Release(completedResult)
		held = silver.requireGranted(t, time.Millisecond)
		bronze.requireWaiting(t, 0)
		held.Release(completedResult)
		bronze.requireGranted(t, time.Millisecond).Release(completedResult)
	})
}

func TestSingleNode(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	runCluster(t, rows, Options{}, []domain.NodeID{"a1"}, func(t *testing.T, c *cluster) {
		one := c.acquire("a1", newRequest(0)).requireGranted(t, 0)
		two := c.acquire("a1", newRequest(0)).requireGranted(t, 0)
		assert.Equal(t, one.Endpoint(), domain.EndpointID("e1"))
		three := c.acquire("a1", newRequest(0))
		three.requireWaiting(t, time.Second)
		two.Release(completedResult)
		two.Release(completedResult)
		three.requireGranted(t, 0)
		assert.Equal(t, c.dump("a1").Endpoints[0].Requests, 2)
	})
}
