package places

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// restAt returns a gate at which the endpoints rest for the given time from now on.
func restAt(rest time.Duration, endpoints ...domain.EndpointID) *fakeGate {
	gate := &fakeGate{rests: map[domain.EndpointID]time.Time{}}
	for _, id := range endpoints {
		gate.rests[id] = time.Now().Add(rest)
	}
	return gate
}

// assertRestRefusal checks that the error names a time between the end of a rest and the latest spread of callers.
func assertRestRefusal(t *testing.T, err error, rest time.Duration) {
	t.Helper()
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.ErrorIs(t, err, ErrResting)
	latest := rest + max(time.Duration(restSpreadFraction*float64(rest)), minRestSpread)
	assert.Assert(t, refusal.RetryAfter >= rest && refusal.RetryAfter <= latest, "%v", refusal.RetryAfter)
}

func TestOtherEndpointsAreUsedDuringRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGatedFixture(t, 2, restAt(3*time.Second, "e0"))
		for _, place := range f.fill(testSlots) {
			assert.Equal(t, place.Endpoint.ID, domain.EndpointID("e1"))
		}
	})
}

func TestRefusalWhileAllEndpointsRestTellsWhenTheyReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := restAt(30*time.Second, "e0")
		gate.rests["e1"] = time.Now().Add(3 * time.Second)
		f := newGatedFixture(t, 2, gate)
		request := testRequest()
		request.FirstByteDue = time.Now().Add(time.Second)
		_, err := f.Acquire(t.Context(), request)
		assertRestRefusal(t, err, 3*time.Second)
		assert.Equal(t, f.RestEndsIn("s"), 3*time.Second)
		urgent := testRequest()
		urgent.Urgent, urgent.Due = true, time.Now().Add(2*time.Second)
		_, err = f.Acquire(t.Context(), urgent)
		assertRestRefusal(t, err, 3*time.Second)
	})
}

func TestRequestWaitsForEndOfRestWithinItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGatedFixture(t, 1, restAt(3*time.Second, "e0"))
		go func() { _ = f.Run(t.Context()) }()
		began := time.Now()
		place := f.take(testRequest())
		assert.Equal(t, place.Endpoint.ID, domain.EndpointID("e0"))
		assert.Assert(t, time.Since(began) >= 3*time.Second && time.Since(began) <= 3*time.Second+queuePollInterval)
	})
}

// Guards against holding requests back that can't be served in time because all endpoints begin to rest.
func TestWaitersAreRefusedWhenAllEndpointsBeginToRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := restAt(0)
		f := newGatedFixture(t, 1, gate)
		go func() { _ = f.Run(t.Context()) }()
		f.fill(testSlots)
		request := testRequest()
		request.FirstByteDue = time.Now().Add(2 * time.Second)
		waiting := f.acquireAsync(request)
		assert.Equal(t, f.Waiting(), 1)
		f.mu.Lock()
		gate.rests["e0"] = time.Now().Add(5 * time.Second)
		f.mu.Unlock()
		began := time.Now()
		err := <-waiting
		assert.Assert(t, time.Since(began) <= queuePollInterval)
		assertRestRefusal(t, err, 5*time.Second-queuePollInterval)
		assert.Equal(t, f.Waiting(), 0)
	})
}

// Guards against requests without claim to them taking the slots that are reserved for others: while most endpoints rest, a node
// must not count their slots as its fair share.
func TestReservesHoldWhileOtherEndpointsRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGatedFixture(t, 10, restAt(time.Minute, "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"))
		f.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
		f.fill(testSlots - 1)
		late := testRequest()
		late.FirstByteDue = time.Now().Add(-time.Second)
		_, err := f.Acquire(t.Context(), late)
		assert.ErrorIs(t, err, ErrOverloaded)
		f.fill(1)
	})
}
