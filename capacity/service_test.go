package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

func TestGrantsAreStrictByTierOverNodes(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	inCluster(t, rows, Options{}, []domain.NodeID{"a1", "a2", "a3"}, func(t *testing.T, c *cluster) {
		first := c.begin("a1", ask(2)).granted(t, time.Millisecond)
		bronze := c.begin("a1", ask(2))
		time.Sleep(time.Millisecond)
		silver := c.begin("a2", ask(1))
		time.Sleep(time.Millisecond)
		gold := c.begin("a3", ask(0))
		gold.waits(t, 10*time.Millisecond)
		first.Release(used)
		held := gold.granted(t, time.Millisecond)
		silver.waits(t, 0)
		held.Release(used)
		held = silver.granted(t, time.Millisecond)
		bronze.waits(t, 0)
		held.Release(used)
		bronze.granted(t, time.Millisecond).Release(used)
	})
}

func TestOneNodeAlone(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	inCluster(t, rows, Options{}, []domain.NodeID{"a1"}, func(t *testing.T, c *cluster) {
		one := c.begin("a1", ask(0)).granted(t, 0)
		two := c.begin("a1", ask(0)).granted(t, 0)
		assert.Equal(t, one.Endpoint(), domain.EndpointID("e1"))
		three := c.begin("a1", ask(0))
		three.waits(t, time.Second)
		two.Release(used)
		two.Release(used)
		three.granted(t, 0)
		assert.Equal(t, c.dump("a1").Endpoints[0].Requests, 2)
	})
}
