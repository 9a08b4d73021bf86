// Package netdialtest has listeners for tests of what happens to bytes that lie in a sender's kernel.
package netdialtest

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// receiveBuffer is less than the least that the kernel grants.
const receiveBuffer = 1 << 10

// HeldBytes is more than a connection of HeldUp takes unread, and less than a sender's kernel holds with a write buffer of
// twice that size.
const HeldBytes = 32 << 10

// HeldUp returns a listener whose connections take few bytes before they are read, so that the sender's kernel holds the
// rest, as it does on a link that is cut. It is closed with the test.
func HeldUp(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, set)
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}
