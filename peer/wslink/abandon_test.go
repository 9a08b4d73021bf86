package wslink

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/netdial/netdialtest"
)

// Guards against frames that reach another node after their link was ended, when a network that was cut is back.
func TestFramesOfAnEndedLinkAreNotDeliveredLater(t *testing.T) {
	l := netdialtest.ListenSmallBuffer(t)
	near, err := dialTCP(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	far, err := l.Accept()
	assert.NilError(t, err)
	netdialtest.AssertCloseDiscards(t, near, far)
}

// Guards against the same on links that the other node dialled.
func TestFramesOfAnAcceptedLinkAreNotDeliveredLater(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	accepting := accepted(l)
	defer accepting.Close()
	dialled := make(chan net.Conn, 1)
	go func() { dialled <- netdialtest.DialSmallBuffer(t, l.Addr().String()) }()
	near, err := accepting.Accept()
	assert.NilError(t, err)
	netdialtest.AssertCloseDiscards(t, near, <-dialled)
}
