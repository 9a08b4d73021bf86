package callers

import (
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketOf returns the kernel socket of a connection or listener, nil if it has none.
func socketOf(c any) syscall.RawConn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// readSocket reads with the mutex held, so that no bytes are in flight between the kernel's buffer and requestStarted when the
// connection is closed as idle.
func (c *conn) readSocket(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.socket.Read(func(fd uintptr) bool {
		n, err = c.readAvailable(int(fd), p)
		return err != unix.EAGAIN //nolint:errorlint // a bare errno, never wrapped
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err == error(errRefused), err == error(errNoRoom): //nolint:errorlint // never wrapped
		return 0, err
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func (c *conn) readAvailable(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, p)
		if err == unix.EINTR || n > 0 && !c.finalSentAt.IsZero() && !c.refused { //nolint:errorlint // a bare errno, never wrapped
			continue
		}
		if refused := c.recordRead(p[:max(n, 0)]); refused != nil {
			return 0, refused
		}
		return max(n, 0), err
	}
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() (unread bool) {
	if c.socket == nil {
		return false
	}
	_ = c.socket.Control(func(fd uintptr) { unread = unreadBytes(int(fd)) }) // fails if the connection is closed
	return unread
}

// endIfNothingUnread sends the listener's final response and the end of the connection, unless bytes have arrived that were not
// read yet. It reports whether there were none.
func (c *conn) endIfNothingUnread() bool {
	if c.socket == nil {
		return true
	}
	ended := true
	_ = c.socket.Control(func(fd uintptr) { // fails if the connection is closed
		if ended = !unreadBytes(int(fd)); ended {
			sendEnd(int(fd), c.listener.finalResponse)
		}
	})
	return ended
}

// sendEnd sends a response and the end of the connection.
func sendEnd(fd int, response []byte) {
	// Both fail if the caller has closed the connection.
	_, _ = unix.SendmsgN(fd, response, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	_ = unix.Shutdown(fd, unix.SHUT_WR)
}

func unreadBytes(fd int) bool {
	var b [1]byte
	n, _, _ := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0
}
