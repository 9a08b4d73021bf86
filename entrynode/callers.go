package entrynode

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// callerListener accepts callers' connections, up to a number at a time; further ones wait.
type callerListener struct {
	net.Listener
	// free holds a token for each connection that may be accepted; nil for no bound.
	free chan struct{}
	// closing is true once idle connections are closed because the node leaves.
	closing atomic.Bool
	// spared counts the connections that such a closing has spared and that are open still.
	spared atomic.Int64

	mu   sync.Mutex
	open map[*callerConn]bool
}

func newCallerListener(l net.Listener, most int) *callerListener {
	c := &callerListener{Listener: l, open: make(map[*callerConn]bool)}
	if most > 0 {
		c.free = make(chan struct{}, most)
	}
	return c
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	if l.free != nil {
		l.free <- struct{}{}
	}
	raw, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	c := &callerConn{Conn: raw, listener: l, idle: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

func (l *callerListener) release() {
	if l.free != nil {
		<-l.free
	}
}

// ended forgets a connection that is closed.
func (l *callerListener) ended(c *callerConn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.release()
}

// sweep closes connections that have been idle for longer than the configuration in force allows; 0 allows any time.
func (l *callerListener) sweep(limit time.Duration) {
	if limit <= 0 {
		return
	}
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	before := time.Now().Add(-limit - idleSlack)
	for _, c := range conns {
		_ = c.closeIfQuiet(before) // its caller may have closed it already
	}
}

// sparedEvery is how often it is looked at whether the spared connections have ended; they do within an answer's time.
const sparedEvery = 10 * time.Millisecond

// awaitSpared waits until the connections that were spared have got their answers, or returns the context's error.
func (l *callerListener) awaitSpared(ctx context.Context) error {
	ticker := time.NewTicker(sparedEvery)
	defer ticker.Stop()
	for l.spared.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// callerConn is a caller's connection that knows whether a request has begun to arrive.
//
// net/http takes a connection for idle until it has read a request's whole head. It would close one in between, when the
// node leaves, and the request would be dispatched and cut off: seen once in 160 simulated days of seven nodes, within 30 ms
// of the signal. Here such a connection is spared; one that is closed gives out no more bytes, so that a request
// that crosses the closing is not read.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu sync.Mutex
	// idle is true between requests, since the instant, which is zero before the first one; begun is true once bytes of
	// the next one have been read.
	idle   bool
	since  time.Time
	begun  bool
	spared bool
	closed bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && c.idle {
		c.begun = true
	}
	return n, err
}

// Close implements net.Conn. While the node leaves, the first call spares a connection on which a request has begun to
// arrive: it is net/http's closing of idle ones. The next one comes after the answer.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.begun && !c.spared && c.listener.closing.Load() {
		c.spared = true
		c.listener.spared.Add(1)
		return nil
	}
	return c.end()
}

// closeIfQuiet closes the connection if it has been idle since before the instant, unless a request has begun to arrive.
func (c *callerConn) closeIfQuiet(before time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.begun || c.since.IsZero() || !c.since.Before(before) {
		return nil
	}
	return c.end()
}

// end closes the connection for good; the mutex is held.
func (c *callerConn) end() error {
	if !c.closed {
		c.closed = true
		c.listener.ended(c)
		if c.spared {
			c.listener.spared.Add(-1)
		}
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http end its side first, so that a caller reads an answer that comes before its whole body was sent.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// observe follows net/http's view of the connection.
func (c *callerConn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle, c.begun, c.since = true, false, time.Now()
	case http.StateActive:
		c.idle = false
	}
}

// observeCaller is the ConnState of the callers' server, all of whose connections are a callerListener's.
func observeCaller(c net.Conn, state http.ConnState) { c.(*callerConn).observe(state) }
