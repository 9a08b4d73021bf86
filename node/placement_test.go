package node

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// TestPlacement runs engines that load their model only when the coordinator orders
// it. An engine that has crashed and lost its model must get no requests until it has
// loaded the model again.
func TestPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		speed := engine.GenerationA()
		speed.ModelLoad = 30 * time.Second
		c := newClusterWith(t, deployment.Cucine(), engine.Options{Speed: speed, RestartDelay: time.Second},
			func(o *Options) { o.Coordinator = &coordinator.Options{} })
		defer c.close()
		time.Sleep(5 * time.Minute)
		led := 0
		for _, n := range c.nodes {
			led += len(n.State().Coordinator.Led)
		}
		assert.Equal(t, led, 1)
		for id, e := range c.engines {
			assert.Assert(t, hasReady(t, e, "quote"), "%s", id)
		}
		e := c.engines[slices.Min(slices.Collect(maps.Keys(c.engines)))]
		e.Crash()
		time.Sleep(stateInterval + 10*time.Second) // Ordered again, and loading.
		assert.Assert(t, !hasReady(t, e, "quote"))
		refused := e.Counts().Refused
		for range 10 {
			for _, m := range c.members {
				response := c.chat(context.Background(), m.Node, "showrooms", "", "a quote", 5)
				assert.Equal(t, response.Code, http.StatusOK, "%s", response.Body)
			}
		}
		assert.Equal(t, e.Counts().Refused, refused)
		time.Sleep(time.Minute)
		assert.Assert(t, hasReady(t, e, "quote"))
	})
}

func hasReady(t *testing.T, e *engine.Engine, model string) bool {
	state, err := e.State(t.Context())
	assert.NilError(t, err)
	for _, m := range state.Models {
		if m.Model == model {
			return m.Ready
		}
	}
	return false
}

// Order implements endpoint.Orders. It bypasses the gate.
func (e gatedEngine) Order(ctx context.Context, order endpoint.Order) error {
	return e.Engine.(endpoint.Orders).Order(ctx, order)
}

// State implements endpoint.Orders. It bypasses the gate.
func (e gatedEngine) State(ctx context.Context) (endpoint.EngineState, error) {
	return e.Engine.(endpoint.Orders).State(ctx)
}

var _ endpoint.Orders = gatedEngine{}
