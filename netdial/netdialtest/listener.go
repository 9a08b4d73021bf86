// Package netdialtest has listeners for tests of what happens to bytes that lie in a sender's kernel.
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

// receiveBuffer is less than the least that the kernel grants.
const receiveBuffer = 1 << 10

// PayloadBytes is more than a connection of ListenSmallBuffer takes unread, and less than a sender's kernel holds with a write buffer of
// twice that size.
const PayloadBytes = 32 << 10

// ListenSmallBuffer returns a listener whose connections take few bytes before they are read, so that the sender's kernel holds the
// rest, as it does on a link that is cut. It is closed with the test.
func ListenSmallBuffer(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: takeLittle}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// DialSmallBuffer dials a connection that takes as few bytes before they are read; nil if the test has failed.
func DialSmallBuffer(t testing.TB, address string) net.Conn {
	dialer := net.Dialer{Control: takeLittle}
	c, err := dialer.DialContext(context.Background(), "tcp4", address)
	assert.Check(t, err)
	return c
}

// takeLittle bounds what a socket takes before it is read.
func takeLittle(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, set)
}

// AssertCloseDiscards fails the test if far, which has read nothing yet, gets all that is written to near before near is closed,
// or sees an ordinary end. It closes both.
func AssertCloseDiscards(t testing.TB, near, far net.Conn) {
	t.Helper()
	_, err := near.Write(make([]byte, PayloadBytes))
	assert.NilError(t, err)
	assert.NilError(t, near.Close())
	AssertDiscarded(t, far)
}

// AssertDiscarded fails the test if far gets PayloadBytes or sees an ordinary end of what was sent to it. It closes far.
func AssertDiscarded(t testing.TB, far net.Conn) {
	t.Helper()
	defer far.Close()
	delivered, err := io.ReadAll(far)
	assert.ErrorIs(t, err, unix.ECONNRESET, "%d bytes and an ordinary end were delivered", len(delivered))
	assert.Assert(t, len(delivered) < PayloadBytes, "all was delivered")
}
