package places

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

func TestLeavingAndExcludedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.set(0, true)
		ask := testAsk()
		ask.Excluded = []domain.EndpointID{"e1"}
		for range testSlots {
			assert.Equal(t, b.take(ask).Endpoint.ID, domain.EndpointID("e2"))
		}
		ask.Excluded = append(ask.Excluded, "e2")
		_, err := b.Acquire(b.t.Context(), ask)
		assert.ErrorIs(t, err, ErrNoEndpoint)
	})
}

func TestFailuresAreToldAndPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		place := b.take(testAsk())
		place.Release(capacity.Result{Unreachable: true})
		var report gossip.Report
		b.FillReport(&report)
		assert.DeepEqual(t, report.Failed, []domain.EndpointID{place.Endpoint.ID})
		other := newBench(t, 2)
		report.From = "m"
		other.ApplyReport(&report)
		for range testSlots {
			assert.Assert(t, other.take(testAsk()).Endpoint.ID != place.Endpoint.ID)
		}
	})
}

func TestFailedEndpointIsNotUsedWhileOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		failed := b.take(testAsk())
		failed.Release(capacity.Result{Unreachable: true})
		for range testSlots {
			assert.Assert(t, b.take(testAsk()).Endpoint.ID != failed.Endpoint.ID)
		}
		got := b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
		time.Sleep(5 * time.Second) // it may be tried again
		b.serve()
		assert.NilError(t, <-got)
		b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1, "by one request at a time")
	})
}

func TestReplacedEndpointIsPassedOverByAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, other := newBench(t, 2), newBench(t, 2)
		replaced := b.take(testAsk())
		replaced.Release(capacity.Result{Replaced: true})
		time.Sleep(5 * time.Second)
		report := gossip.Report{From: "m"}
		b.FillReport(&report)
		other.ApplyReport(&report)
		for range testSlots {
			assert.Assert(t, b.take(testAsk()).Endpoint.ID != replaced.Endpoint.ID)
			assert.Assert(t, other.take(testAsk()).Endpoint.ID != replaced.Endpoint.ID)
		}
		b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
	})
}

func TestBeliefsAboutEndpointsAreLoggedWhenTheyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		var out strings.Builder
		b.options.Log = zerolog.New(&out)
		for range 3 {
			b.take(testAsk()).Release(capacity.Result{Unreachable: true})
		}
		b.take(testAsk()).Release(served(time.Millisecond))
		b.take(testAsk()).Release(capacity.Result{Replaced: true})
		assert.Equal(t, strings.Count(out.String(), "\n"), 3, out.String())
		for _, belief := range []string{"endpoint failed, passed over", "serves again", "replaced by another life"} {
			assert.Equal(t, strings.Count(out.String(), belief), 1, out.String())
		}
	})
}

func TestAllEndpointsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		for range 2 {
			b.take(testAsk()).Release(capacity.Result{Unreachable: true})
		}
		// There is nothing better: the caller gets its answer by trying, not by waiting.
		b.take(testAsk())
	})
}

func TestOwnWordGoesBeforeAnothersForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.set(1, true)
		b.take(testAsk()).Release(served(time.Millisecond))
		report := &gossip.Report{From: "m", Failed: []domain.EndpointID{"e0"}}
		b.ApplyReport(report)
		b.set(1, false)
		b.take(testAsk()).Release(served(time.Millisecond))
		inService := func() bool { return b.pools["s"].accounts["e0"].inService(time.Now(), b.pools["s"].router) }
		assert.Assert(t, inService())
		time.Sleep(ownWord + time.Millisecond)
		b.ApplyReport(report)
		assert.Assert(t, !inService())
	})
}
