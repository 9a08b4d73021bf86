package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// restarted lists endpoint 0 as it is after a start at the instant.
func (b *bench) restarted(born int64) *directory.Endpoint {
	e := &directory.Endpoint{ID: "e0", Service: "s", DataCentre: "d", Slots: testSlots, Born: born}
	b.list.Apply(0, []*directory.Endpoint{e}, nil, 0)
	return e
}

// Pattern: an endpoint crashes full of work and is back under its name before anything of that has ended at the nodes.
func TestRestartedEndpointBeginsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 0)
		first := b.restarted(1)
		old := b.fill(testSlots)
		told := &gossip.Report{From: "other", Loads: []gossip.Load{{Endpoint: first.Incarnation(), Requests: testSlots}}}
		b.ApplyReport(told)
		second := b.restarted(2)
		b.ApplyReport(told)
		fresh := b.fill(testSlots)
		assert.Equal(t, fresh[0].Endpoint, second, "nothing of before is outstanding there, by this node's count or others'")
		for _, place := range old {
			place.Release(capacity.Result{Dispatched: true, Unreachable: true})
		}
		ask := testAsk()
		ask.FirstByteDue = time.Now()
		_, err := b.Acquire(t.Context(), ask)
		assert.Assert(t, err != nil, "what ends of before gives back no place")
		fresh[0].Release(served(time.Millisecond))
		assert.Equal(t, b.take(testAsk()).Endpoint, second, "nor does a failure of before count")
	})
}

func TestFailureToldOfAnEarlierIncarnationIsLeftAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		first := b.restarted(1)
		second := b.restarted(2)
		b.ApplyReport(&gossip.Report{From: "other", Failed: []domain.EndpointID{first.Incarnation(), "e1"}})
		assert.Equal(t, b.take(testAsk()).Endpoint, second)
	})
}

// An entry that names another service moves the endpoint there.
func TestEndpointOfAnotherServiceIsOutOfThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.take(testAsk()).Release(served(time.Millisecond))
		b.list.Apply(0, []*directory.Endpoint{{ID: "e0", Service: "other", DataCentre: "d", Slots: testSlots}}, nil, 0)
		_, err := b.Acquire(t.Context(), testAsk())
		assert.ErrorIs(t, err, ErrNoEndpoint)
	})
}
