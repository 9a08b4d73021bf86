// Package netdialtest provides listeners for tests of data that is queued in the sender's kernel when a connection is
// closed.
package netdialtest

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// receiveBufferBytes is below the kernel's minimum, so that the kernel sets the smallest buffer it allows.
const receiveBufferBytes = 1 << 10

// PayloadBytes exceeds what a connection of ListenSmallBuffer buffers unread, and fits into the sender's kernel with a
// write buffer of twice that size.
const PayloadBytes = 32 << 10

// ListenSmallBuffer returns a listener whose connections have the smallest receive buffer, so that unread data stays
// queued in the sender's kernel, as it does on an interrupted link. It is closed when the test ends.
func ListenSmallBuffer(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: setSmallReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// DialSmallBuffer dials a connection with the smallest receive buffer. It returns nil, and marks the test as failed, if
// the address can't be reached.
func DialSmallBuffer(t testing.TB, address string) net.Conn {
	dialer := net.Dialer{Control: setSmallReceiveBuffer}
	c, err := dialer.DialContext(context.Background(), "tcp4", address)
	assert.Check(t, err)
	return c
}

// setSmallReceiveBuffer sets the receive buffer of a socket to its minimum size.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, setErr)
}

// AssertCloseDiscards writes PayloadBytes to sender and closes it. It fails the test if receiver, which has read nothing
// so far, then receives all of the data or an ordinary end of the stream instead of a reset. It closes both.
func AssertCloseDiscards(t testing.TB, sender, receiver net.Conn) {
	t.Helper()
	_, err := sender.Write(make([]byte, PayloadBytes))
	assert.NilError(t, err)
	assert.NilError(t, sender.Close())
	AssertDiscarded(t, receiver)
}

// AssertDiscarded fails the test if receiver receives PayloadBytes or an ordinary end of the stream instead of a reset. It
// closes receiver.
func AssertDiscarded(t testing.TB, receiver net.Conn) {
	t.Helper()
	defer receiver.Close()
	delivered, err := io.ReadAll(receiver)
	assert.ErrorIs(t, err, unix.ECONNRESET, "no reset; %d bytes were delivered", len(delivered))
	assert.Assert(t, len(delivered) < PayloadBytes, "all data was delivered")
}
