package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// versioned sends the events after the one that the request names, each with the version.
func versioned(version *atomic.Value) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		if r.Header.Get("X-Last") == "2" {
			first = 3
		}
		w.Header().Set("X-Signed", "yes")
		for i := first; i <= 3; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %v\n\n", i, version.Load())
		}
	}
}

// relist replaces the entry of the only endpoint by one that states the version.
func (f *fixture) relist(version string, newIncarnation bool) {
	e := *f.directory.Current().Service("s")[0]
	e.Version = version
	if newIncarnation {
		e.Born++
	}
	f.list(&e)
}

// Guards against a stream that goes on at another version because its endpoints changed while the node stood still between the query for
// what began the stream and the dispatch.
func TestVersionThatChangesBeforeTheDispatchGetsNoResumption(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile func(f *fixture, version *atomic.Value)
		status    int
	}{
		"nothing": {func(*fixture, *atomic.Value) {}, http.StatusOK},
		"another version under the same incarnation": {func(f *fixture, version *atomic.Value) {
			version.Store("v2")
			f.relist("v2", false)
		}, http.StatusServiceUnavailable},
		"another version as another incarnation": {func(f *fixture, version *atomic.Value) {
			version.Store("v2")
			f.relist("v2", true)
		}, http.StatusServiceUnavailable},
		"another endpoint at its address": {func(f *fixture, version *atomic.Value) {
			version.Store("v2")
			e := *f.directory.Current().Service("s")[0]
			f.directory.Apply(0, []*directory.Endpoint{{ID: "new", Service: "s", Address: e.Address, Slots: 4, Version: "v2"}}, []domain.EndpointID{e.ID}, 0)
		}, http.StatusServiceUnavailable},
		"another version that comes and is gone": {func(f *fixture, _ *atomic.Value) {
			f.relist("v2", true)
			f.relist("v1", true)
		}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var version atomic.Value
			version.Store("v1")
			f := newFixture(t, nil, versioned(&version))
			f.began("1", "s", "v1")
			f.onSecondAgeCheck(func() { test.meanwhile(f, &version) })
			got := f.call(resumption("1"))
			assert.Assert(t, !strings.Contains(got.Body, "v2"), "%q", got.Body)
			assert.Equal(t, got.Status, test.status)
			if test.status != http.StatusOK {
				assert.Equal(t, f.dispatches.Load(), int64(0))
				assert.Assert(t, strings.Contains(got.Body, string(outcomeNotRun)), "%q", got.Body)
			}
		})
	}
}

// Guards against the same while the request is on its way: the entry of the process that answers has arrived by its first event.
func TestVersionThatChangesBeforeTheFirstEventGetsNoResumption(t *testing.T) {
	for name, newIncarnation := range map[string]bool{"same incarnation": false, "another incarnation": true} {
		t.Run(name, func(t *testing.T) {
			var version atomic.Value
			version.Store("v2")
			var f *fixture
			f = newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
				f.relist("v2", newIncarnation)
				versioned(&version)(w, r)
			})
			f.ofVersion("e0", "v1")
			f.began("1", "s", "v1")
			got := f.call(resumption("1"))
			assert.Assert(t, !strings.Contains(got.Body, "v2"), "%d %q", got.Status, got.Body)
		})
	}
}
