package entrynode

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against connections that are reset because the node had not accepted them yet when it closed its listener: their
// callers may have sent requests.
func TestEstablishedConnectionsAreAcceptedAfterTheListenerIsClosed(t *testing.T) {
	const connections = 5
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := newCallerListener(raw, 0)
	var callers []net.Conn
	for range connections {
		c, err := net.Dial("tcp4", raw.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "x")
		assert.NilError(t, err)
		callers = append(callers, c)
	}
	assert.NilError(t, l.stopAccepting())
	for range connections {
		c, err := l.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.Copy(c, io.LimitReader(c, 1))
		assert.NilError(t, err)
	}
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	for _, c := range callers {
		echoed := make([]byte, 1)
		_, err := io.ReadFull(c, echoed)
		assert.NilError(t, err)
	}
}
