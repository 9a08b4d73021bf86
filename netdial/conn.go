package netdial

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Close discards what the other side has not acknowledged. After an ordinary close the
// kernel would go on retransmitting it, and the other side would get it once a cut link is back. It is safe for concurrent
// use.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	writing int
	closed  bool
	// pending is set by Close if bytes were left unacknowledged.
	pending bool
}

func wrap(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Write writes p. It returns net.ErrClosed, and takes nothing, once Close has been called.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	defer c.end()
	return c.Conn.Write(p)
}

func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.writing++
	return true
}

func (c *Conn) end() {
	c.mu.Lock()
	c.writing--
	c.mu.Unlock()
}

// Close closes the connection. It resets it if the other side has not acknowledged all that was written, so that none of
// the rest is delivered, and closes it in order otherwise.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.pending = c.writing > 0 || c.unacknowledged()
		c.discard()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// discard makes the close a reset if bytes are pending. A connection that can't be reset is closed in order.
func (c *Conn) discard() {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !c.pending || !ok {
		return
	}
	_ = tcp.SetLinger(0) // fails only for a socket that is closed already
}

// Pending reports whether the connection was closed before the other side had acknowledged all that was written.
func (c *Conn) ClosedUnacknowledged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// SyscallConn implements syscall.Conn. It fails for a connection that is not of the kernel.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// unacknowledged reports whether the kernel holds bytes for the other side. A connection that can't tell counts as one
// that does.
func (c *Conn) unacknowledged() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	held := 0
	var asked error
	err = raw.Control(func(fd uintptr) { held, asked = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return errors.Join(err, asked) != nil || held > 0
}
