package callers

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hawthornrill.example/hawthornrill/bytebudget"
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
	// finalSentAt is when the listener's final response, or a refusal, was sent on the connection, zero before. What arrives after
	// a final response is discarded until the caller closes the connection.
	finalSentAt time.Time
	// refused is true if it was a refusal: reads fail. closing is true once the close after it is due.
	refused, closing bool

	// head measures the head that is being read, of which the first byte arrived at headSince. held is what the connection holds of
	// the listener's budget for that request, or, between requests, for what may have arrived of the next one.
	head      headMeter
	headSince time.Time
	held      bytebudget.Reservation
	// afterHead is what was read behind the last head, nextCost the most that this can cost as part of the next one.
	afterHead surplus
	nextCost  int64
	// admitted is false if there was no room for a request whose head has been read.
	admitted bool
	// bodySince is when the read of a body began, zero if none is read. bodyRead is the number of bytes that were read since.
	bodySince   time.Time
	bodyRead    int
	bodyEvicted bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err == error(errNoRoom) { //nolint:errorlint // never wrapped
		c.listener.reclaim(memory)
	}
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	if c.socket != nil {
		return c.readSocket(p)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if refused := c.recordRead(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// recordRead records that bytes have been read. It returns an error if they are refused. The mutex must be held.
func (c *conn) recordRead(p []byte) error {
	switch {
	case c.refused:
		return errRefused
	case len(p) == 0:
		return nil
	case !c.idle:
		c.bodyRead += len(p)
		c.afterHead.add(p)
		return nil
	}
	if !c.requestStarted {
		c.requestStarted, c.headSince = true, time.Now()
	}
	return c.recordHead(p)
}

// Close implements net.Conn. While the server shuts down, net/http closes idle connections; that call is deferred if part of a
// request has arrived. The next call, after the answer, closes the connection. After a refusal the connection is closed once the
// caller has had time to read it: a close with unread bytes would discard it.
func (c *conn) Close() error {
	if c.closesLater() {
		time.AfterFunc(finalReadTimeout, func() { _ = c.Close() }) // the caller may have closed it already
		return nil
	}
	if !c.endUnlessDeferred() {
		return nil
	}
	return c.Conn.Close()
}

// closesLater reports whether the connection is to be closed later, and releases what its request holds.
func (c *conn) closesLater() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := c.refused && !c.closing && !c.closed
	if later {
		c.closing = true
		c.held.Release()
	}
	return later
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
	_ = c.socket.Control(func(fd uintptr) { sendEnd(int(fd), c.listener.finalResponse) }) // fails if the connection is closed
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
	c.held.Release()
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
		c.endRequest()
	case http.StateActive:
		c.idle = false
		c.beginRequest()
	}
}

// TrackState is the ConnState callback of a server whose connections all come from a Listener.
func TrackState(c net.Conn, state http.ConnState) { c.(*conn).setState(state) }
