package endpointgate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/places"
)

var _ places.Gate = (*Gate)(nil)

const testSlots = 10

func testEndpoint() *directory.Endpoint {
	return &directory.Endpoint{ID: "e", Service: "s", Slots: testSlots, Born: 1}
}

// taken takes all that the gate allows now.
func (g *testGate) taken(e *directory.Endpoint) int {
	n := 0
	for n <= testSlots && g.Allows(e) {
		g.Take(e)
		n++
	}
	return n
}

func TestNothingIsAllowedDuringRest(t *testing.T) {
	g, e := newTestGate(), testEndpoint()
	assert.Assert(t, g.Allows(e) && !g.AnyRest())
	g.Record(e, "r", Notice{Rest: 3 * time.Second})
	for range 30 {
		assert.Assert(t, !g.Allows(e) && g.RestEndsIn(e) > 0 && !g.Bars(e))
		g.now = g.now.Add(100 * time.Millisecond)
	}
	g.now = g.now.Add(maxJitter)
	assert.Assert(t, g.Allows(e) && g.RestEndsIn(e) == 0)
}

// Guards against a burst at the end of a rest.
func TestRequestsGrowAfterRest(t *testing.T) {
	g, e := newTestGate(), testEndpoint()
	g.Record(e, "r", Notice{Rest: time.Second})
	g.now = g.now.Add(g.RestEndsIn(e))
	assert.Equal(t, g.taken(e), 1)
	sum := 0
	for range 4 {
		g.now = g.now.Add(rampTime / 5)
		taken := g.taken(e)
		assert.Equal(t, taken, testSlots/5)
		sum += taken
	}
	g.now = g.now.Add(rampTime / 5)
	assert.Assert(t, g.taken(e) > testSlots)
	g.Sweep()
	assert.Assert(t, !g.AnyRest())
}

func TestRejectionAfterRestBeginsAnother(t *testing.T) {
	g, e := newTestGate(), testEndpoint()
	g.Record(e, "r", Notice{Rest: time.Second})
	g.now = g.now.Add(g.RestEndsIn(e))
	assert.Equal(t, g.taken(e), 1)
	g.Record(e, "r", Notice{Rest: time.Second})
	assert.Assert(t, g.RestEndsIn(e) >= time.Second)
	g.Sweep()
	assert.Assert(t, g.AnyRest())
}

func TestNodesReturnAtDifferentTimes(t *testing.T) {
	ends := map[time.Duration]bool{}
	for range 20 {
		g, e := newTestGate(), testEndpoint()
		g.Record(e, "r", Notice{Rest: 3 * time.Second})
		left := g.RestEndsIn(e)
		assert.Assert(t, left >= 3*time.Second && left <= 3*time.Second+maxJitter, "%v", left)
		ends[left] = true
	}
	assert.Assert(t, len(ends) > 1)
}

// Guards against sending to an endpoint that restarted under its ID, and asked for rest before it was listed, as soon as it is.
func TestRestBindsTheIncarnationThatMayHaveAskedForIt(t *testing.T) {
	for _, asked := range []time.Duration{3 * time.Second, time.Minute} {
		g, e := newTestGate(), testEndpoint()
		g.Record(e, "r", Notice{Rest: asked})
		restarted, unrelated := *e, *e
		restarted.Born, unrelated.ID = e.Born+1, "other"
		assert.Assert(t, !g.Allows(e) && !g.Allows(&restarted) && g.Allows(&unrelated))
		g.now = g.now.Add(min(g.RestEndsIn(e), restartListingTime))
		assert.Equal(t, g.Allows(e), asked < restartListingTime)
		assert.Equal(t, g.RestEndsIn(&restarted), time.Duration(0))
		assert.Equal(t, g.taken(&restarted), 1, "the restarted endpoint gets more than one request at once")
	}
}

// Guards against a late rejection of a request that was meant for the endpoint's earlier incarnation shortening the rest that the
// later one has asked for.
func TestLateRejectionByEarlierIncarnationDoesNotShortenRest(t *testing.T) {
	g, e := newTestGate(), testEndpoint()
	restarted := *e
	restarted.Born = e.Born + 1
	g.config.Directory.Apply(g.now, []*directory.Endpoint{&restarted}, nil, 0)
	g.Record(&restarted, "r", Notice{Rest: 10 * time.Second})
	g.now = g.now.Add(time.Second)
	g.Record(e, "late", Notice{Rest: 2 * time.Second})
	assert.Assert(t, g.RestEndsIn(&restarted) >= 9*time.Second, "%v", g.RestEndsIn(&restarted))
	g.Record(e, "late", Notice{Rest: time.Minute})
	assert.Assert(t, g.RestEndsIn(&restarted) >= 9*time.Second, "%v", g.RestEndsIn(&restarted))
	g.now = g.now.Add(8 * time.Second)
	g.Record(e, "late", Notice{Rest: time.Minute})
	left := g.RestEndsIn(&restarted)
	assert.Assert(t, left > 4*time.Second && left <= restartListingTime, "the restarted endpoint may have asked for it: %v", left)
}

func TestCheckTellsWhyEndpointIsClosed(t *testing.T) {
	g, e := newTestGate(), testEndpoint()
	list := func(e *directory.Endpoint) { g.config.Directory.Apply(g.now, []*directory.Endpoint{e}, nil, 0) }
	assert.ErrorIs(t, g.Check(e.Incarnation()), ErrGone)
	list(e)
	assert.NilError(t, g.Check(e.Incarnation()))
	g.Record(e, "r", Notice{Rest: time.Second})
	assert.ErrorIs(t, g.Check(e.Incarnation()), ErrResting)
	leaving := *e
	leaving.Leaving = true
	list(&leaving)
	assert.ErrorIs(t, g.Check(e.Incarnation()), ErrLeaving)
	assert.Assert(t, g.Bars(&leaving) && !g.Allows(&leaving))
	g.config.Directory.Apply(g.now, nil, []domain.EndpointID{e.ID}, 0)
	assert.ErrorIs(t, g.Check(e.Incarnation()), ErrGone)
}

// fixedShares are the shares of endpoints that must not have to reject requests, by ID.
type fixedShares map[domain.EndpointID]int

func (s fixedShares) Share(e *directory.Endpoint) (share int, bound bool) {
	share, bound = s[e.ID]
	return share, bound
}

// Guards against sending a brittle endpoint more after it had no room.
func TestBrittleEndpointRestsAfterRejection(t *testing.T) {
	g, e := newTestGate(), testEndpoint()
	g.RecordRejection(e, "r")
	assert.Assert(t, g.Allows(e), "an endpoint that may reject rests")
	g.config.Shares = fixedShares{e.ID: 2}
	share, bound := g.Share(e)
	assert.Assert(t, bound && share == 2)
	g.RecordRejection(e, "r")
	assert.Assert(t, !g.Allows(e))
	g.now = g.now.Add(brittleRest + maxJitter)
	assert.Assert(t, g.Allows(e))
}
