package netdial

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestNothingIsWrittenAfterClose(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := wrap(near)
	assert.NilError(t, c.Close())
	n, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, n, 0)
}
