package callers

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// conn is a caller's connection that records whether part of a request has arrived.
//
// net/http treats a connection as idle until it has read a complete request head. When the server shuts down, net/http may close
// a connection on which part of a head has arrived; the request would then be dispatched and its response lost. conn defers such
// a close until after the answer. Once the connection is closed, Read returns no more bytes, so that a request that arrives
// during the close is not dispatched.
type conn struct {
	net.Conn
	// socket is nil if the connection is not a kernel socket.
	socket   syscall.RawConn
	listener *Listener
	accepted time.Time

	mu sync.Mutex
	// idle is true between requests. idleSince is when the last request ended, zero before the first one. requestStarted
	// is true once bytes of the next request have been read.
	idle           bool
	idleSince      time.Time
	requestStarted bool
	closeDeferred  bool
	closed         bool
	// finalSentAt is when the listener's final response was sent on the idle connection, zero before. What arrives after
	// that is discarded until the caller closes the connection.
	finalSentAt time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.socket != nil {
		return c.readSocket(p)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.recordRead(n)
	return n, err
}

// recordRead records that n bytes have been read. The mutex must be held.
func (c *conn) recordRead(n int) {
	if n > 0 && c.idle {
		c.requestStarted = true
	}
}

// Close implements net.Conn. While the server shuts down, net/http closes idle connections; that call is deferred if part of a
// request has arrived. The next call, after the answer, closes the connection.
func (c *conn) Close() error {
	if !c.endUnlessDeferred() {
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) endUnlessDeferred() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closeDeferred && c.finalSentAt.IsZero() && c.listener.draining.Load() && (c.requestStarted || c.hasUnread()) {
		c.closeDeferred = true
		return false
	}
	c.markClosed()
	return true
}

// closeIfIdle closes the connection if it has been idle since before the given time and no part of a request has arrived.
func (c *conn) closeIfIdle(before time.Time) error {
	return c.closeIf(func() bool { return c.idleBefore(before) })
}

// closeIfUnused is like closeIfIdle, but also closes a connection on which no request has arrived within neverUsedTimeout.
func (c *conn) closeIfUnused(before time.Time) error {
	return c.closeIf(func() bool {
		return c.idleBefore(before) || c.idleSince.IsZero() && time.Since(c.accepted) > neverUsedTimeout
	})
}

func (c *conn) idleBefore(t time.Time) bool { return !c.idleSince.IsZero() && c.idleSince.Before(t) }

// closeIf closes the connection if the condition holds, it is idle and no part of a request has arrived. If the listener has a
// final response, the caller gets that first and has finalReadTimeout to close the connection.
func (c *conn) closeIf(condition func() bool) error {
	if !c.endIfIdle(condition) {
		return nil
	}
	return c.Conn.Close()
}

// endIfIdle reports whether the connection has to be closed now.
func (c *conn) endIfIdle(condition func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case !c.finalSentAt.IsZero():
		if time.Since(c.finalSentAt) < finalReadTimeout {
			return false
		}
	case !c.idle || c.requestStarted || !condition() || !c.endIfNothingUnread():
		return false
	case c.sendsFinalResponse():
		c.finalSentAt = time.Now()
		return false
	}
	c.markClosed()
	return true
}

// endUnread sends the final response if nothing of the next request has been read, and reports whether it did.
func (c *conn) endUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.idle || c.requestStarted || !c.finalSentAt.IsZero() || !c.sendsFinalResponse() {
		return false
	}
	c.finalSentAt = time.Now()
	_ = c.socket.Control(func(fd uintptr) { c.sendEnd(int(fd)) }) // fails if the connection is closed
	return true
}

func (c *conn) sendsFinalResponse() bool { return c.socket != nil && len(c.listener.finalResponse) > 0 }

// markClosed makes further reads return nothing and releases the connection's slot. The mutex must be held. The connection is
// closed without it, since net waits for a read in progress.
func (c *conn) markClosed() {
	if c.closed {
		return
	}
	c.closed = true
	c.listener.remove(c)
}

// CloseWrite lets net/http close its sending side first, so that a caller can read an answer that is sent before the
// request body has been received completely.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setState records net/http's state of the connection.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle, c.requestStarted, c.idleSince = true, false, time.Now()
	case http.StateActive:
		c.idle = false
	}
}

// TrackState is the ConnState callback of a server whose connections all come from a Listener.
func TrackState(c net.Conn, state http.ConnState) { c.(*conn).setState(state) }
