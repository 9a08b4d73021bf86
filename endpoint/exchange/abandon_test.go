package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
)

// receiveBuffer is the least that the kernel grants.
const receiveBuffer = 1 << 10

// heldUp is a listener whose connections take few bytes before they are read, so that the sender's kernel holds the rest
// as it does on a link that is cut.
func heldUp(t *testing.T) net.Listener {
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

// bodyBytes is more than the receiving side takes unread, and less than the sending kernel holds.
const bodyBytes = 32 << 10

// abandoned sends a request to an endpoint that does not read, and gives it up once the kernel has taken all of it.
func abandoned(t *testing.T, c *Client, l net.Listener) error {
	t.Helper()
	r := (&server{address: l.Addr().String()}).request("1")
	r.Body = []byte(strings.Repeat("x", bodyBytes))
	conn, err := c.connection(context.Background(), r)
	assert.NilError(t, err)
	assert.NilError(t, conn.Conn.Conn.(*net.TCPConn).SetWriteBuffer(2*bodyBytes))
	assert.NilError(t, conn.write(r))
	return c.abandon(conn, endpoint.ErrBroken)
}

func TestUnacknowledgedRequestIsTold(t *testing.T) {
	l := heldUp(t)
	set := metrics.NewSet()
	c := New(Options{}, set)
	err := abandoned(t, c, l)
	assert.ErrorIs(t, err, endpoint.ErrUnacknowledged)
	assert.ErrorIs(t, err, endpoint.ErrBroken)
	assert.Equal(t, c.unacknowledged.Get(), uint64(1))
}

func TestAcknowledgedRequestIsNotToldAsUnacknowledged(t *testing.T) {
	s := serve(t, "")
	c := New(Options{}, metrics.NewSet())
	_, err := send(t, c, s.request("1"))
	assert.ErrorIs(t, err, endpoint.ErrBroken)
	assert.Assert(t, !errors.Is(err, endpoint.ErrUnacknowledged))
}

// Guards against requests that reach an endpoint after they were given up on, when a link that was cut is back.
func TestRequestGivenUpOnIsNotDeliveredLater(t *testing.T) {
	l := heldUp(t)
	err := abandoned(t, New(Options{}, metrics.NewSet()), l)
	assert.ErrorIs(t, err, endpoint.ErrUnacknowledged)

	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	delivered, err := io.ReadAll(c)
	assert.Assert(t, err != nil, "%d bytes and an ordinary end were delivered", len(delivered))
	assert.Assert(t, len(delivered) < bodyBytes, "the whole request was delivered")
}
