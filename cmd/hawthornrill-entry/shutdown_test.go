package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// response is what a caller was told.
type response struct {
	id, path string
	status   int
	body     string
	err      error
}

// Guards against requests that are cut off without an answer at the end of the grace period: a caller whose request was still
// queued could not know that it had not run.
func TestRequestsLeftAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	const slots, queued = 4, 3
	c := newClusterWithGrace(t, 1, 4)
	for _, e := range c.endpoints {
		e.SetEventInterval(map[string]time.Duration{"app": 5 * time.Second, "llm": time.Second}[e.Service])
	}
	responses := make(chan response, slots+queued+1)
	send := func(path string) {
		go func() {
			id, status, body, err := c.call(c.nodes[0], path, "k1")
			responses <- response{id, path, status, body, err}
		}()
	}
	for range slots + queued {
		send("/book/x")
	}
	send("/chat/x")
	c.waitFor("the endpoints are busy", func() bool { return len(c.endpoints[2].Arrivals()) == slots && c.arrivals("llm") == 1 })
	c.nodes[0].shutDown()
	assert.NilError(t, <-c.nodes[0].done)
	notRun, unknown := 0, 0
	for range slots + queued + 1 {
		switch r := <-responses; {
		case r.path == "/chat/x":
			assert.Assert(t, r.err != nil, "a stream that is cut off must not look complete")
		case r.err != nil:
			t.Errorf("request %s got no answer and ran %d times: %v", r.id, c.runs(r.id), r.err)
		case r.status == http.StatusServiceUnavailable:
			notRun++
			assert.Equal(t, c.runs(r.id), 0)
			assert.Assert(t, strings.Contains(r.body, "not_run"), r.body)
		default:
			unknown++
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Assert(t, strings.Contains(r.body, "unknown"), r.body)
		}
	}
	assert.Equal(t, notRun, queued)
	assert.Equal(t, unknown, slots)
}

// arrivals returns the number of requests that arrived at a service's endpoints.
func (c *cluster) arrivals(service string) int {
	n := 0
	for _, e := range c.endpoints {
		if e.Service == service {
			n += len(e.Arrivals())
		}
	}
	return n
}
