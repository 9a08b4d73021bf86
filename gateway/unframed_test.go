package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

// unframed sends a response with neither a length nor chunks, then ends the connection by a reset or, if reset is false, by FIN.
func unframed(w http.ResponseWriter, body string, reset bool) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer raw.Close()
	_, _ = fmt.Fprint(raw, "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\n\r\n", body)
	if reset {
		_ = raw.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a response that ends with its connection being taken for complete when it is not, or for broken off when it is complete.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, test := range []struct {
		name       string
		body       string
		reset      bool
		dispatches int64
	}{
		{"whole", threeEvents, false, 1},
		{"ends inside an event", twoEvents + "id: 3\nda", false, 2},
		{"reset inside an event", twoEvents + "id: 3\nda", true, 2},
		{"reset between two events", twoEvents, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			serve := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Last") != "" {
					streaming(w, r)
					return
				}
				unframed(w, test.body, test.reset)
			}
			f := newFixture(t, nil, serve, serve)
			got := f.call(nil)
			assert.NilError(t, got.Err)
			assert.Equal(t, got.Status, http.StatusOK)
			assert.Equal(t, got.Body, threeEvents)
			assert.Equal(t, f.dispatches.Load(), test.dispatches)
		})
	}
}

// Guards against a truncated stream looking complete to a caller whose route may not be resumed.
func TestTruncatedStreamThatEndsWithItsConnectionDoesNotLookComplete(t *testing.T) {
	for name, reset := range map[string]bool{"fin": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, oneEndpointEach, func(w http.ResponseWriter, _ *http.Request) { unframed(w, twoEvents+"id: 3\nda", reset) })
			got := f.call(nil)
			assert.Assert(t, got.Err != nil || got.Status == http.StatusBadGateway, "%d %q", got.Status, got.Body)
			assert.Assert(t, got.Body == twoEvents || got.Body == "" || got.Status == http.StatusBadGateway, "%q", got.Body)
		})
	}
}

func repeatablePlain(r *routetable.Route) {
	r.Kind, r.Resumable, r.MaxEndpoints = routetable.Idempotent, false, 2
}

func TestPlainResponseThatEndsWithItsConnection(t *testing.T) {
	for _, through := range []string{"directly", "through another node"} {
		t.Run(through, func(t *testing.T) {
			serving := newFixture(t, repeatablePlain, func(w http.ResponseWriter, _ *http.Request) { unframed(w, "whole", false) })
			f := serving
			if through != "directly" {
				f = cutOff(t, repeatablePlain)
				f.helpedBy("helper", serving.asHelper())
			}
			for range 3 { // its connection can't be used again
				got := f.call(nil)
				assert.NilError(t, got.Err)
				assert.Equal(t, got.Status, http.StatusOK)
				assert.Equal(t, got.Body, "whole")
				assert.Equal(t, got.Header.Get("Content-Length"), "5", "the caller must see where it ends")
			}
		})
	}
}

func TestPlainResponseThatIsResetIsNotForwarded(t *testing.T) {
	f := newFixture(t, plainRoute, func(w http.ResponseWriter, _ *http.Request) { unframed(w, "part of it", true) })
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusBadGateway)
	assert.Equal(t, f.dispatches.Load(), int64(1))
}

func TestStreamThatEndsWithItsConnectionComesThroughAnotherNode(t *testing.T) {
	helper := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { unframed(w, threeEvents, false) })
	f := cutOff(t, nil)
	f.helpedBy("helper", helper.asHelper())
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
}
