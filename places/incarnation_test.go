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

// restartEndpoint lists endpoint 0 with a new start time.
func (f *fixture) restartEndpoint(born int64) *directory.Endpoint {
	e := &directory.Endpoint{ID: "e0", Service: "s", DataCentre: "d", Slots: testSlots, Born: born}
	f.directory.Apply(0, []*directory.Endpoint{e}, nil, 0)
	return e
}

// An endpoint crashes while full and restarts under the same ID before the nodes have seen its old requests end.
func TestRestartedEndpointStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0)
		first := f.restartEndpoint(1)
		old := f.fill(testSlots)
		report := &gossip.Report{From: "other", Loads: []gossip.Load{{Endpoint: first.Incarnation(), Requests: testSlots}}}
		f.ApplyReport(report)
		second := f.restartEndpoint(2)
		f.ApplyReport(report)
		fresh := f.fill(testSlots)
		assert.Equal(t, fresh[0].Endpoint, second, "requests of the old incarnation must not count, by own count or reports")
		for _, place := range old {
			place.Release(capacity.Result{Dispatched: true, Unreachable: true})
		}
		request := testRequest()
		request.FirstByteDue = time.Now()
		_, err := f.Acquire(t.Context(), request)
		assert.Assert(t, err != nil, "a release at the old incarnation must free no slot")
		fresh[0].Release(served(time.Millisecond))
		assert.Equal(t, f.take(testRequest()).Endpoint, second, "a failure of the old incarnation must not count")
	})
}

func TestFailureOfEarlierIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		first := f.restartEndpoint(1)
		second := f.restartEndpoint(2)
		f.ApplyReport(&gossip.Report{From: "other", Failed: []domain.EndpointID{first.Incarnation(), "e1"}})
		assert.Equal(t, f.take(testRequest()).Endpoint, second)
	})
}

// An entry that names another service moves the endpoint to that service's pool.
func TestEndpointMovedToAnotherServiceLeavesPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.take(testRequest()).Release(served(time.Millisecond))
		f.directory.Apply(0, []*directory.Endpoint{{ID: "e0", Service: "other", DataCentre: "d", Slots: testSlots}}, nil, 0)
		_, err := f.Acquire(t.Context(), testRequest())
		assert.ErrorIs(t, err, ErrNoEndpoint)
	})
}
