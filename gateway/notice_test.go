package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpointgate"
)

// restingEndpoint holds its first requests until they are released one by one. It rejects the others and asks for rest until it
// is told to serve.
type restingEndpoint struct {
	rest     string
	held     int64
	release  chan struct{}
	requests atomic.Int64
	serves   atomic.Bool
}

func (e *restingEndpoint) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	switch n := e.requests.Add(1); {
	case n <= e.held:
		<-e.release
		writeEvents(w, 1, 1)
	case e.serves.Load():
		writeEvents(w, 1, 1)
	default:
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Rest", e.rest)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func servesOneEvent(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) }

// Guards against sending to an endpoint that asked for rest: an earlier answer that ended there made it count as recovered.
func TestRestingEndpointGetsNoRequests(t *testing.T) {
	resting := &restingEndpoint{rest: "3", held: 2, release: make(chan struct{})}
	f := newFixture(t, nil, resting.ServeHTTP, servesOneEvent)
	t.Cleanup(func() { close(resting.release) })
	f.moveToOtherDataCentre("e1") // the endpoint in the node's data centre is preferred
	inProgress := make(chan result, resting.held)
	for i := range resting.held {
		go func() { inProgress <- f.call(nil) }()
		f.await(func() bool { return resting.requests.Load() == i+1 })
	}
	assert.Equal(t, f.call(nil).Status, http.StatusOK)
	assert.Equal(t, resting.requests.Load(), resting.held+1, "the endpoint rejected no request")
	for i := range int(resting.held) {
		f.clock.Add(int64(1200 * time.Millisecond))
		resting.release <- struct{}{}
		assert.Equal(t, (<-inProgress).Status, http.StatusOK)
		f.await(func() bool { return f.gateway.Active() == int(resting.held)-i-1 })
		assert.Equal(t, f.call(nil).Status, http.StatusOK)
	}
	assert.Equal(t, resting.requests.Load()-resting.held-1, int64(0), "requests within 2.4 s of a rest of 3 s")

	resting.serves.Store(true)
	f.clock.Add(int64(5 * time.Second))
	assert.Equal(t, f.call(nil).Status, http.StatusOK)
	assert.Equal(t, resting.requests.Load()-resting.held-1, int64(1), "the endpoint is not used after its rest")
}

// Guards against sending to an endpoint that has said that it is leaving while the list still shows it as ready.
func TestEndpointThatSaysItIsLeavingGetsNoRequests(t *testing.T) {
	var atLeaving atomic.Int64
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		atLeaving.Add(1)
		w.Header().Set("X-Leaving", "1")
		writeEvents(w, 1, 1)
	}, servesOneEvent)
	f.moveToOtherDataCentre("e1")
	for range 3 {
		assert.Equal(t, f.call(nil).Status, http.StatusOK)
	}
	assert.Equal(t, atLeaving.Load(), int64(1))
	f.moveToOtherDataCentre("e1") // an entry that still shows the endpoint as ready
	assert.Equal(t, f.call(nil).Status, http.StatusOK)
	assert.Equal(t, atLeaving.Load(), int64(1))
	e := *f.directory.Current().Endpoint("e0")
	e.Born, e.Leaving = 1, false
	f.list(&e)
	assert.Equal(t, f.call(nil).Status, http.StatusOK)
	assert.Equal(t, atLeaving.Load(), int64(2), "the next incarnation is not used")
}

func TestRestThatBeginsBeforeTheDispatchIsRespected(t *testing.T) {
	var requests atomic.Int64
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		writeEvents(w, 1, 1)
	})
	f.onSecondAgeCheck(func() {
		f.endpointGate.Record(f.directory.Current().Endpoint("e0"), "other", endpointgate.Notice{Rest: 2 * time.Minute})
	})
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter >= 120, "%v s", retryAfter)
	assert.Equal(t, requests.Load(), int64(0))
}

// Guards against all callers coming back in the instant in which the endpoints' rest ends.
func TestCallersComeBackSpreadAfterRest(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
	f.endpointGate.Record(f.directory.Current().Endpoint("e0"), "other", endpointgate.Notice{Rest: 10 * time.Second})
	rest := f.endpointGate.RestEndsIn(f.directory.Current().Endpoint("e0"))
	returns := make(map[time.Duration]int)
	task := &task{gateway: f.gateway, service: "s"}
	const callers = 200
	for range callers {
		after := task.retryAfter()
		assert.Assert(t, after >= rest && after <= rest+rest/4, "%v after a rest of %v", after, rest)
		returns[after.Truncate(rest/40)]++
	}
	for at, n := range returns {
		assert.Assert(t, n <= callers/4, "%d of %d callers come back within %v of %v", n, callers, rest/40, at)
	}
}
