package exchange

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/netdial/netdialtest"
)

// abandoned sends a request to an endpoint that does not read, and abandons it once the kernel has
// accepted all of it.
func abandoned(t *testing.T, c *Client, l net.Listener) error {
	t.Helper()
	r := (&server{address: l.Addr().String()}).request("1")
	r.Body = []byte(strings.Repeat("x", netdialtest.PayloadBytes))
	conn, err := c.connection(context.Background(), r)
	assert.NilError(t, err)
	assert.NilError(t, conn.Conn.Conn.(*net.TCPConn).SetWriteBuffer(2*netdialtest.PayloadBytes))
	assert.NilError(t, conn.write(r))
	return c.abandon(conn, endpoint.ErrBroken)
}

func TestUnacknowledgedRequestIsReported(t *testing.T) {
	l := netdialtest.ListenSmallBuffer(t)
	set := metrics.NewSet()
	c := New(Options{}, set)
	err := abandoned(t, c, l)
	assert.ErrorIs(t, err, endpoint.ErrUnacknowledged)
	assert.ErrorIs(t, err, endpoint.ErrBroken)
	assert.Equal(t, c.unacknowledged.Get(), uint64(1))
}

func TestAcknowledgedRequestIsNotReportedAsUnacknowledged(t *testing.T) {
	s := serve(t, "")
	c := New(Options{}, metrics.NewSet())
	_, err := send(t, c, s.request("1"))
	assert.ErrorIs(t, err, endpoint.ErrBroken)
	assert.Assert(t, !errors.Is(err, endpoint.ErrUnacknowledged))
}

// Guards against a request that was abandoned while the link was cut reaching the endpoint once the
// link is restored.
func TestRequestGivenUpOnIsNotDeliveredLater(t *testing.T) {
	l := netdialtest.ListenSmallBuffer(t)
	err := abandoned(t, New(Options{}, metrics.NewSet()), l)
	assert.ErrorIs(t, err, endpoint.ErrUnacknowledged)

	c, err := l.Accept()
	assert.NilError(t, err)
	netdialtest.AssertDiscarded(t, c)
}
