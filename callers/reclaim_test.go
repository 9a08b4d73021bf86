package callers

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that keep others out: which connections are closed for others, and which never are.
func TestConnectionsThatAreClosedForOthers(t *testing.T) {
	now := time.Now()
	long, short := now.Add(-2*slowAfter), now.Add(-slowAfter/2)
	for _, test := range []struct {
		name                 string
		set                  func(c *conn)
		forMemory, forOthers bool
	}{
		{"head for long", func(c *conn) { c.idle, c.requestStarted, c.headSince = true, true, long }, true, true},
		{"head just begun", func(c *conn) { c.idle, c.requestStarted, c.headSince = true, true, short }, false, false},
		{"head just begun, after a long pause", func(c *conn) { c.idle, c.requestStarted, c.headSince, c.idleSince = true, true, short, long }, false, false},
		{"no request for long", func(c *conn) { c.idle, c.accepted = true, long }, false, true},
		{"no request yet", func(c *conn) { c.idle, c.accepted = true, short }, false, false},
		{"body that has stopped", func(c *conn) { c.accepted, c.bodySince = long, long }, true, true},
		{"body that arrives", func(c *conn) { c.accepted, c.bodySince, c.bodyRead = long, long, 3*minBodyRate }, false, false},
		{"body that has just begun", func(c *conn) { c.accepted, c.bodySince = long, short }, false, false},
		{"request in progress", func(c *conn) { c.accepted, c.idleSince = long, long }, false, false},
		{"idle for long", func(c *conn) { c.idle, c.accepted, c.idleSince = true, long, long }, false, true},
		{"idle for a moment", func(c *conn) { c.idle, c.accepted, c.idleSince = true, long, short }, false, false},
	} {
		for n, want := range map[need]bool{memory: test.forMemory, connections: test.forOthers} {
			l := NewListener(nil, 0)
			near, far := net.Pipe()
			c := &conn{Conn: near, listener: l}
			test.set(c)
			l.open[c] = true
			l.reclaim(n)
			assert.Equal(t, c.refused || c.bodyEvicted, want, "%s, need %d", test.name, n)
			assert.NilError(t, near.Close())
			assert.NilError(t, far.Close())
		}
	}
}

func TestLongestIdleConnectionsAreClosedFirst(t *testing.T) {
	l := NewListener(nil, 0)
	now := time.Now()
	var conns []*conn
	for i := range 3 * idlePart {
		near, _ := net.Pipe()
		c := &conn{Conn: near, listener: l, idle: true, idleSince: now.Add(-time.Duration(i+2) * slowAfter)}
		l.open[c] = true
		conns = append(conns, c)
	}
	l.reclaim(connections)
	for i, c := range conns {
		assert.Equal(t, c.refused, i >= len(conns)-3, "connection %d", i)
	}
	assert.Equal(t, l.TakeRefusals(), Refusals{Idle: 3})
	l.reclaim(connections)
	assert.Equal(t, l.TakeRefusals(), Refusals{}, "within reclaimInterval")
}

// Guards against a node that serves nobody while clients stay on all connections that it accepts.
func TestConnectionBeyondTheLimitIsServed(t *testing.T) {
	const limit = 5
	l, _ := serveLimited(t, limit, 1<<20)
	for i := range limit {
		conn := dial(t, l)
		switch i % 3 {
		case 0:
			send(t, conn, "GET / HTTP/1.1\r\n")
		case 1:
			send(t, conn, testRequest)
			assert.Equal(t, responseStatus(t, conn), http.StatusOK)
		}
	}
	for range 2 * limit {
		conn := dial(t, l)
		send(t, conn, testRequest)
		assert.Equal(t, responseStatus(t, conn), http.StatusOK)
	}
}
