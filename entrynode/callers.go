package entrynode

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// callerListener accepts callers' connections. It limits the number of open connections; further ones wait to be accepted.
type callerListener struct {
	net.Listener
	// slots holds a token for each open connection, up to its capacity; nil for no limit.
	slots chan struct{}
	// draining is true once idle connections are being closed because the node drains.
	draining atomic.Bool

	mu   sync.Mutex
	open map[*callerConn]bool
	// pending holds the connections that were established but not accepted when the listener was closed.
	pending []net.Conn
}

func newCallerListener(l net.Listener, limit int) *callerListener {
	c := &callerListener{Listener: l, open: make(map[*callerConn]bool)}
	if limit > 0 {
		c.slots = make(chan struct{}, limit)
	}
	return c
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	if l.slots != nil {
		l.slots <- struct{}{}
	}
	raw, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && len(l.pending) > 0 {
		raw, err = l.pending[0], nil
		l.pending = l.pending[1:]
	}
	if err != nil {
		l.release()
		return nil, err
	}
	c := &callerConn{Conn: raw, socket: socketOf(raw), listener: l, accepted: time.Now(), idle: true}
	l.open[c] = true
	return c, nil
}

// ignoreNewConnections lets connections that are being established become so, and no others, until the listener is closed. It
// returns an error if the kernel can't do that.
func (l *callerListener) ignoreNewConnections() error {
	if err := ignoreNewConnections(l.Listener); err != nil {
		return err
	}
	time.Sleep(handshakePeriod)
	return nil
}

// stopAccepting closes the listening socket. Connections that are established already are still accepted.
func (l *callerListener) stopAccepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = acceptEstablished(l.Listener)
	return l.Listener.Close()
}

// closeUnused closes the connections that have not been used since the given time, or that never had a request, once
// readHeaderTimeout has passed. It reports whether none is open.
func (l *callerListener) closeUnused(since time.Time) bool {
	for _, c := range l.openConns() {
		_ = c.closeIfUnused(since) // the caller may have closed it already
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)+len(l.pending) == 0
}

// openConns returns the open connections. Their locks must not be taken under that of the listener: a connection that is being
// closed takes them the other way round.
func (l *callerListener) openConns() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

func (l *callerListener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// remove removes a closed connection and releases its slot.
func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.release()
}

// closeIdle closes connections that have been idle for longer than the limit of the configuration; 0 means no limit.
func (l *callerListener) closeIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	before := time.Now().Add(-limit - idleTimeoutMargin)
	for _, c := range l.openConns() {
		_ = c.closeIfIdle(before) // the caller may have closed it already
	}
}

// callerConn is a caller's connection that records whether part of a request has arrived.
//
// net/http treats a connection as idle until it has read a complete request head. When the node drains, net/http may close
// a connection on which part of a head has arrived; the request is then dispatched and its response lost. This was seen once
// in 160 simulated days of seven nodes, within 30 ms of the signal. callerConn defers such a close until after the answer.
// Once the connection is closed, Read returns no more bytes, so that a request that arrives during the close is not
// dispatched.
type callerConn struct {
	net.Conn
	// socket is nil if the connection is not a kernel socket.
	socket   syscall.RawConn
	listener *callerListener
	accepted time.Time

	mu sync.Mutex
	// idle is true between requests. idleSince is when the last request ended, zero before the first one. requestStarted
	// is true once bytes of the next request have been read.
	idle           bool
	idleSince      time.Time
	requestStarted bool
	closeDeferred  bool
	closed         bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
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
func (c *callerConn) recordRead(n int) {
	if n > 0 && c.idle {
		c.requestStarted = true
	}
}

// Close implements net.Conn. While the node drains, net/http closes idle connections; that call is deferred if part of a
// request has arrived. The next call, after the answer, closes the connection.
func (c *callerConn) Close() error {
	if c.deferClose() {
		return nil
	}
	c.mu.Lock()
	c.markClosed()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *callerConn) deferClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closeDeferred || !c.listener.draining.Load() || !c.requestStarted && !c.hasUnread() {
		return false
	}
	c.closeDeferred = true
	return true
}

// closeIfIdle closes the connection if it has been idle since before the given time and no part of a request has arrived.
func (c *callerConn) closeIfIdle(before time.Time) error {
	if !c.endIfIdle(func() bool { return !c.idleSince.IsZero() && c.idleSince.Before(before) }) {
		return nil
	}
	return c.Conn.Close()
}

// closeIfUnused is like closeIfIdle, but also closes a connection on which no request has arrived within readHeaderTimeout.
func (c *callerConn) closeIfUnused(before time.Time) error {
	neverUsed := func() bool { return c.idleSince.IsZero() && time.Since(c.accepted) > readHeaderTimeout }
	if !c.endIfIdle(func() bool { return neverUsed() || !c.idleSince.IsZero() && c.idleSince.Before(before) }) {
		return nil
	}
	return c.Conn.Close()
}

// endIfIdle marks the connection as closed if the condition holds, it is idle and no part of a request has arrived.
func (c *callerConn) endIfIdle(condition func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.idle || c.requestStarted || !condition() || !c.endIfNothingUnread() {
		return false
	}
	c.markClosed()
	return true
}

// markClosed makes further reads return nothing and releases the connection's slot. The mutex must be held. The connection is
// closed without it, since net waits for a read in progress.
func (c *callerConn) markClosed() {
	if c.closed {
		return
	}
	c.closed = true
	c.listener.remove(c)
}

// CloseWrite lets net/http close its sending side first, so that a caller can read an answer that is sent before the
// request body has been received completely.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setState records net/http's state of the connection.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle, c.requestStarted, c.idleSince = true, false, time.Now()
	case http.StateActive:
		c.idle = false
	}
}

// trackConnState is the ConnState callback of the server for callers. All its connections come from a callerListener.
func trackConnState(c net.Conn, state http.ConnState) { c.(*callerConn).setState(state) }
