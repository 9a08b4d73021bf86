package httpresponse

import (
	"errors"
	"io"
	"net"
	"sync"
)

// conn checks the heads that arrive on a connection.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head Head
	// headExpected is true until the head of a final response has arrived.
	headExpected bool
	// headBytes is the size of what has arrived of it, with the interim responses before it.
	headBytes int
	// err is set once something malformed has arrived, and ends all further reads and writes.
	err error
	// reset is true if the connection ended without the peer having closed it.
	reset bool

	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	// unchecked is held from the head of a response until the end of its body has been checked. http.Transport considers the connection
	// idle before that.
	unchecked sync.Mutex
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, headExpected: true, closed: make(chan struct{})}
}

// expect makes the next bytes those of a head. It returns once the response before has been checked.
func (c *conn) expect(upgrade bool) {
	c.unchecked.Lock()
	defer c.unchecked.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.headExpected, c.headBytes = Head{Upgrade: upgrade}, true, 0
}

// Read implements net.Conn. Its error wraps ErrMalformed at the first line of a head that is not valid.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkHead(p[:n])
	if c.err != nil {
		return 0, c.err
	}
	if errors.Is(err, io.EOF) {
		c.reset = WasReset(c.Conn)
	}
	return n, err
}

// checkHead checks further bytes if they belong to a head. The lock is held.
func (c *conn) checkHead(p []byte) {
	for len(p) > 0 && c.headExpected && c.err == nil {
		var n int
		var complete bool
		n, complete, c.err = c.head.Check(p)
		p = p[n:]
		c.headBytes += n
		switch {
		case c.err == nil && c.headBytes > MaxHeadBytes:
			c.err = errHeadTooLong
		case complete && c.head.Interim():
			c.head.Reset()
		case complete:
			c.headExpected = false
		}
	}
}

// Write implements net.Conn. It writes nothing once something malformed has arrived.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// NetConn returns the connection that is checked.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// fail makes the connection unusable. It returns once http.Transport has closed it too, which its reader does when it fails, and so will
// not choose it again.
func (c *conn) fail(err error) {
	c.mu.Lock()
	c.err = err
	c.mu.Unlock()
	_ = c.Conn.Close() // the connection is unusable in any case
	<-c.closed
}

func (c *conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// endedByReset reports whether the end that Read returned was no close of the peer.
func (c *conn) endedByReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}
