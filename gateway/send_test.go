package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
)

func TestEndpointThatLeavesGetsNothingNew(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1) })
	f.leaves("e0")
	assert.Equal(t, f.call(nil).Status, http.StatusServiceUnavailable)
	assert.Equal(t, f.sends.Load(), int64(0))
}

func TestWhatChangesBeforeTheSendIsSeen(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fixture)
		status int
	}{
		{"the endpoint leaves", func(f *fixture) { f.leaves("e0") }, http.StatusServiceUnavailable},
		{"the keys become too old", func(f *fixture) { f.knowledge.age.Store(int64(testKeyAge + 1)) }, http.StatusServiceUnavailable},
		{"the key is taken away", func(f *fixture) { f.takeKeysAway() }, http.StatusUnauthorized},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1) })
			f.atSecondLook(func() { test.change(f) })
			assert.Equal(t, f.call(nil).Status, test.status)
			assert.Equal(t, f.sends.Load(), int64(0))
		})
	}
}

func TestRequestThatMayHaveRunIsNotSaidNotToHave(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(r *routetable.Route) { r.Kind = routetable.Idempotent }, func(http.ResponseWriter, *http.Request) {
		f.leaves("e0") // so that there is no place for another attempt
		broken()
	})
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusBadGateway)
	assert.Equal(t, f.sends.Load(), int64(1))
}

func TestNoSendBeyondTheBudgetOfRetries(t *testing.T) {
	refused := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := newFixture(t, nil, refused, refused)
	f.retries = retrybudget.Options{Window: time.Minute}
	f.start()
	assert.Equal(t, f.call(nil).Status, http.StatusServiceUnavailable)
	assert.Equal(t, f.sends.Load(), int64(1))
}

func TestBodiesHeldAreBounded(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1) })
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
	assert.Equal(t, f.sends.Load(), int64(0))
	assert.Equal(t, withBody(100).Status, http.StatusOK, "what was refused is held no longer")
	assert.Equal(t, withBody(100).Status, http.StatusOK, "nor what was answered")
}

func TestRequestThatHasNotRunDoesNotCountUnderTheLimit(t *testing.T) {
	var asked atomic.Int64
	f := newFixture(t, func(r *routetable.Route) { r.MaxEndpoints = 1 }, func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) == 1 {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events(w, 1, 1)
	})
	most := func(r *http.Request) { r.Header.Set("X-Tokens", "700") }
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusTooManyRequests} {
		assert.Equal(t, f.call(most).Status, status)
	}
}

func TestStreamThatEndsWithinAnEventGoesOnElsewhere(t *testing.T) {
	serve := inTwoParts(func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "id: 3\nda") // and a proper end of the connection's message
	})
	f := newFixture(t, nil, serve, serve)
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
}

// Pattern: a request crashes each endpoint that runs it, and comes again.
func TestRequestThatBreaksOffThreeEndpointsIsNotSentAgain(t *testing.T) {
	crash := func(http.ResponseWriter, *http.Request) { broken() }
	f := newFixture(t, nil, crash, crash, crash, crash, crash)
	for range 2 {
		assert.Equal(t, f.call(nil).Status, http.StatusBadGateway)
	}
	sent := f.sends.Load()
	assert.Assert(t, sent >= 3 && sent <= 4, "%d", sent)
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	assert.Equal(t, f.sends.Load(), sent, "it has not run")
	other := f.call(func(r *http.Request) { r.URL.Path += "other" })
	assert.Equal(t, other.Status, http.StatusBadGateway, "another request is sent")
}
