package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform/platformtest"
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

// openConnection is a caller's connection that is kept open as long as the node keeps it open.
type openConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (c *cluster) connect(n *runningNode) *openConnection {
	conn, err := net.Dial("tcp4", n.settings.Listen.Callers)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	return &openConnection{conn, bufio.NewReader(conn)}
}

// send writes a request.
func (o *openConnection) send(c *cluster, path string) {
	id := fmt.Sprintf("r%d", c.requests.Add(1))
	request, err := platformtest.NewRequest("http://h"+path, id, "k1", 20*time.Second, strings.HasPrefix(path, "/chat/"), strings.NewReader("body"))
	assert.NilError(c.t, err)
	assert.NilError(c.t, request.Write(o))
}

// receive reads the response to a request. closes reports whether the node will close the connection.
func (o *openConnection) receive(c *cluster) (status int, body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(o.reader, nil)
	assert.NilError(c.t, err)
	assert.NilError(c.t, httpresponse.Check(response))
	data, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, string(data), response.Close
}

func (c *cluster) beginShutdown(n *runningNode) {
	n.shutDown()
	c.waitFor("the node leaves", func() bool { ready, _ := n.Ready(); return !ready })
}

// Guards against open connections that a node closes as soon as it begins to drain: a request that crosses the close gets no
// answer, and its caller does not know that it has not run.
func TestRequestOnOpenConnectionIsServedWhileDraining(t *testing.T) {
	c := newCluster(t, 1)
	open := c.connect(c.nodes[0])
	open.send(c, "/book/x")
	status, _, closes := open.receive(c)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !closes)
	c.beginShutdown(c.nodes[0])
	open.send(c, "/book/x")
	status, _, closes = open.receive(c)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, closes, "the caller must be asked to close its connection")
	assert.NilError(t, <-c.nodes[0].done)
}

// Guards against a connection that is closed right after a response that began before the drain, so that its caller was not
// asked to close it. The next request may be too late to be served; its caller must be told that it has not run.
func TestRequestAfterStreamThatOutlastsTheNoticePeriodIsAnswered(t *testing.T) {
	c := newCluster(t, 1)
	for _, e := range c.endpoints[:2] {
		e.SetEventInterval(time.Second)
	}
	open := c.connect(c.nodes[0])
	open.send(c, "/chat/x")
	_, err := open.reader.Peek(1)
	assert.NilError(t, err)
	c.beginShutdown(c.nodes[0])
	status, body, closes := open.receive(c)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, completeStream())
	assert.Assert(t, !closes)
	open.send(c, "/book/x")
	status, body, closes = open.receive(c)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "not_run"), body)
	assert.Assert(t, closes)
	assert.NilError(t, <-c.nodes[0].done)
}

// Guards against a request that crosses the close of its unused connection and gets no answer: its caller does not know that it
// has not run.
func TestRequestThatCrossesTheCloseOfItsConnectionIsToldNotRun(t *testing.T) {
	c := newCluster(t, 1)
	open := c.connect(c.nodes[0])
	open.send(c, "/book/x")
	status, _, _ := open.receive(c)
	assert.Equal(t, status, http.StatusOK)
	arrived := c.arrivals("app")
	c.nodes[0].shutDown()
	assert.NilError(t, <-c.nodes[0].done)
	open.send(c, "/book/x")
	status, body, closes := open.receive(c)
	assert.Equal(t, status, http.StatusRequestTimeout)
	assert.Assert(t, strings.Contains(body, "not_run"), body)
	assert.Assert(t, closes)
	assert.Equal(t, c.arrivals("app"), arrived)
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
