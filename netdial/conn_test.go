package netdial

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWriteAfterCloseFails(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := wrap(local)
	assert.NilError(t, c.Close())
	n, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, n, 0)
}
