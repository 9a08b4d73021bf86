package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/store/lease"
)

// slowEngine answers orders after orderTime. A call whose context ends first is broken off.
type slowEngine struct{ orders int }

const orderTime = time.Second

func (e *slowEngine) Orders(domain.EndpointID) (endpoint.Orders, bool) { return e, true }

func (e *slowEngine) Order(ctx context.Context, _ endpoint.Order) error {
	e.orders++
	select {
	case <-time.After(orderTime):
		return nil
	case <-ctx.Done():
		return endpoint.ErrBroken
	}
}

func (e *slowEngine) State(context.Context) (endpoint.EngineState, error) {
	return endpoint.EngineState{}, nil
}

// heldLease is a lease that is never lost.
type heldLease struct{}

func (heldLease) Held() bool                  { return true }
func (heldLease) Fencing() lease.FencingToken { return 1 }

// Guards against an order that is broken off when its node stops: nobody knows whether the engine carries it out.
func TestOrderInProgressEndsWithItsOutcomeAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &slowEngine{}
		s := &Service{options: Options{Engines: engine}.withDefaults(), counters: newCounters(metrics.NewSet())}
		term := s.newTerm("g", heldLease{})
		ctx, stop := context.WithCancel(t.Context())
		time.AfterFunc(orderTime/2, stop)
		order := endpoint.Order{Kind: endpoint.OrderLoad, Model: "a"}
		assert.NilError(t, term.sendOrder(ctx, "e1", order))
		assert.ErrorIs(t, term.sendOrder(ctx, "e1", order), context.Canceled)
		assert.Equal(t, engine.orders, 1, "no order is sent once the node stops")
		assert.Equal(t, len(term.blockedUntil), 0)
	})
}
