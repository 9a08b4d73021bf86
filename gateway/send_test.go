package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/poison"
	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
)

func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	f.markLeaving("e0")
	assert.Equal(t, f.call(nil).Status, http.StatusServiceUnavailable)
	assert.Equal(t, f.dispatches.Load(), int64(0))
}

func TestChangesBeforeDispatchAreDetected(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fixture)
		status int
	}{
		{"endpoint leaves", func(f *fixture) { f.markLeaving("e0") }, http.StatusServiceUnavailable},
		{"keys become stale", func(f *fixture) { f.config.age.Store(int64(testMaxKeyAge + 1)) }, http.StatusServiceUnavailable},
		{"key is revoked", func(f *fixture) { f.revokeKeys() }, http.StatusUnauthorized},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
			f.onSecondAgeCheck(func() { test.change(f) })
			assert.Equal(t, f.call(nil).Status, test.status)
			assert.Equal(t, f.dispatches.Load(), int64(0))
		})
	}
}

func TestRequestThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(r *routetable.Route) { r.Kind = routetable.Idempotent }, func(http.ResponseWriter, *http.Request) {
		f.markLeaving("e0") // so that there is no slot for another attempt
		abortConnection()
	})
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusBadGateway)
	assert.Equal(t, f.dispatches.Load(), int64(1))
}

func TestRetryBudgetLimitsDispatches(t *testing.T) {
	refused := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := newFixture(t, nil, refused, refused)
	f.retries = retrybudget.Options{Window: time.Minute}
	f.start()
	assert.Equal(t, f.call(nil).Status, http.StatusServiceUnavailable)
	assert.Equal(t, f.dispatches.Load(), int64(1))
}

func TestHeldBodyBytesAreBounded(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	f.bodyBytes = 100
	f.start()
	withBody := func(bytes int) result {
		return f.call(func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), int64(bytes)
		})
	}
	tooMuch := withBody(101)
	assert.Equal(t, tooMuch.Status, http.StatusServiceUnavailable)
	assert.Assert(t, tooMuch.Header.Get("Retry-After") != "")
	assert.Equal(t, f.dispatches.Load(), int64(0))
	assert.Equal(t, withBody(100).Status, http.StatusOK, "the refused body was not released")
	assert.Equal(t, withBody(100).Status, http.StatusOK, "the previous body was not released")
}

func TestRequestNotRunIsNotChargedToLimit(t *testing.T) {
	var requests atomic.Int64
	f := newFixture(t, func(r *routetable.Route) { r.MaxEndpoints = 1 }, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeEvents(w, 1, 1)
	})
	withTokens := func(r *http.Request) { r.Header.Set("X-Tokens", "700") }
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusTooManyRequests} {
		assert.Equal(t, f.call(withTokens).Status, status)
	}
}

func TestStreamEndingWithinAnEventResumesElsewhere(t *testing.T) {
	serve := breakAfterTwoEvents(func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "id: 3\nda") // followed by a proper end of the response body
	})
	f := newFixture(t, nil, serve, serve)
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
}

// Guards against a request that crashes every endpoint that runs it and is retried by its caller.
func TestRequestThatCrashesThreeEndpointsIsQuarantined(t *testing.T) {
	crash := func(http.ResponseWriter, *http.Request) { abortConnection() }
	f := newFixture(t, nil, crash, crash, crash, crash, crash)
	f.probe = poison.ErrEnded
	f.start()
	for i := range 2 {
		assert.Equal(t, f.call(attemptNumber(i)).Status, http.StatusBadGateway)
	}
	sent := f.dispatches.Load()
	assert.Assert(t, sent >= 3 && sent <= 4, "%d", sent)
	f.awaitIdentified()
	got := f.call(attemptNumber(2))
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	assert.Equal(t, f.dispatches.Load(), sent, "the quarantined request was dispatched")
	other := f.call(func(r *http.Request) { r.URL.Path += "other" })
	assert.Equal(t, other.Status, http.StatusBadGateway, "a request with other content was not dispatched")
}

// awaitIdentified waits until the evidence so far has been evaluated and something was identified.
func (f *fixture) awaitIdentified() {
	f.await(func() bool { return f.gateway.deps.CrashParts.Identified() > 0 })
}
