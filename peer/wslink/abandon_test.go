package wslink

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/netdial/netdialtest"
)

// Guards against queued frames of an ended link that the kernel delivers to the other node once a network partition
// has healed.
func TestFramesOfAnEndedLinkAreNotDeliveredLater(t *testing.T) {
	l := netdialtest.ListenSmallBuffer(t)
	near, err := dialTCP(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	far, err := l.Accept()
	assert.NilError(t, err)
	netdialtest.AssertCloseDiscards(t, near, far)
}

// Guards against the same failure on links that the other node dialled.
func TestFramesOfAnAcceptedLinkAreNotDeliveredLater(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	accepting := wrapListener(l)
	defer accepting.Close()
	dialled := make(chan net.Conn, 1)
	go func() { dialled <- netdialtest.DialSmallBuffer(t, l.Addr().String()) }()
	near, err := accepting.Accept()
	assert.NilError(t, err)
	netdialtest.AssertCloseDiscards(t, near, <-dialled)
}
