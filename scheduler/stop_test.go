package scheduler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

// singleSlot is a capacity.Client with one slot, which goes to the next request as soon as it is released.
type singleSlot struct{ free chan struct{} }

func newSingleSlot() *singleSlot {
	s := &singleSlot{free: make(chan struct{}, 1)}
	s.free <- struct{}{}
	return s
}

func (s *singleSlot) Acquire(ctx context.Context, _ capacity.Request) (capacity.Grant, error) {
	select {
	case <-s.free:
		return &slotGrant{slot: s, revoked: make(chan struct{})}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type slotGrant struct {
	slot    *singleSlot
	revoked chan struct{}
}

func (g *slotGrant) Endpoint() domain.EndpointID { return "e" }
func (g *slotGrant) Revoked() <-chan struct{}    { return g.revoked }
func (g *slotGrant) Progress(int)                {}
func (g *slotGrant) Release(capacity.Result)     { g.slot.free <- struct{}{} }

// Guards against dispatches by a node that stops: the slot that one request gave up was granted to another, whose outcome was
// then unknown.
func TestNothingIsDispatchedAfterClose(t *testing.T) {
	const rounds, queued = 100, 20
	for range rounds {
		engine := schedulertest.NewEngine(schedulertest.Script{Tokens: 10, Interval: time.Minute})
		network := peertest.NewNetwork()
		world := schedulertest.Cluster{
			Home:      schedulertest.NewHome(),
			Capacity:  newSingleSlot(),
			Endpoints: schedulertest.Endpoints{Engines: map[domain.EndpointID]endpoint.Engine{"e": engine}},
			Limiter:   &countingLimiter{},
		}
		s := world.NewScheduler(network.Node(schedulertest.NewMember("a")), scheduler.Options{})
		handles := make([]*scheduler.Handle, 1+queued)
		for i := range handles {
			handles[i] = s.Submit(request(fmt.Sprint(i)))
		}
		for len(engine.Started()) == 0 {
			time.Sleep(time.Millisecond)
		}
		s.Close()
		assert.Equal(t, len(engine.Started()), 1)
		counts := make(map[domain.Outcome]int)
		for _, h := range handles {
			_, end := readAll(t, h)
			assert.Equal(t, end.Code, answer.CodeStopped)
			counts[end.Outcome]++
		}
		assert.DeepEqual(t, counts, map[domain.Outcome]int{domain.OutcomeNotRun: queued, domain.OutcomeRan: 1})
		network.Close()
	}
}
