package netdial

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Close discards the data that the peer has not acknowledged. After an ordinary close the
// kernel would keep retransmitting that data, and the peer would receive it once an interrupted link recovers. It is safe
// for concurrent use.
type Conn struct {
	net.Conn

	mu           sync.Mutex
	activeWrites int
	closed       bool
	// unackedAtClose is set by Close if some of the written data was unacknowledged.
	unackedAtClose bool
}

func wrap(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Write implements net.Conn. Once Close has been called, it writes nothing and returns net.ErrClosed.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	defer c.endWrite()
	return c.Conn.Write(p)
}

func (c *Conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.activeWrites++
	return true
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	c.activeWrites--
	c.mu.Unlock()
}

// Close closes the connection. If the peer has not acknowledged all written data, the connection is reset, so that the
// rest is never delivered; otherwise it is closed normally.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.unackedAtClose = c.activeWrites > 0 || c.hasUnacknowledged()
		c.resetIfUnacked()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// resetIfUnacked makes the close a reset if some data is unacknowledged. A connection that can't be reset is closed
// normally.
func (c *Conn) resetIfUnacked() {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !c.unackedAtClose || !ok {
		return
	}
	_ = tcp.SetLinger(0) // Fails only if the socket is already closed.
}

// ClosedUnacknowledged reports whether the connection was closed before the peer had acknowledged all written data.
func (c *Conn) ClosedUnacknowledged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unackedAtClose
}

// SyscallConn implements syscall.Conn. It fails if the underlying connection is not a kernel socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// hasUnacknowledged reports whether the kernel's send queue holds data that the peer has not acknowledged. It returns true
// if the queue can't be queried.
func (c *Conn) hasUnacknowledged() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	queued := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { queued, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return errors.Join(err, ioctlErr) != nil || queued > 0
}
