package gateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

// Guards against dispatches by a node that stops: a slot that one request gave up was granted to another, whose outcome was
// then unknown.
func TestNothingIsDispatchedAfterStopDispatching(t *testing.T) {
	const slots, queued = 4, 3
	release := make(chan struct{})
	f := newFixture(t, func(r *routetable.Route) { r.Kind, r.MaxEndpoints = routetable.NonIdempotent, 1 }, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("X-Signed", "yes")
	})
	results := make(chan result, slots+queued)
	for range slots + queued {
		go func() { results <- f.call(nil) }()
	}
	f.await(func() bool { return f.dispatches.Load() == slots && f.gateway.Active() == slots+queued })
	f.gateway.StopDispatching()
	close(release)
	notRun := 0
	for range slots + queued {
		r := <-results
		assert.NilError(t, r.Err)
		if r.Status == http.StatusOK {
			continue
		}
		notRun++
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(r.Body, string(outcomeNotRun)), r.Body)
		assert.Assert(t, r.Header.Get("Retry-After") != "")
	}
	assert.Equal(t, notRun, queued)
	assert.Equal(t, f.dispatches.Load(), int64(slots))
}
