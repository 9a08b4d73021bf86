package callers

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns both ends of a TCP connection, the server's as an idle conn.
func connect(t *testing.T, l *Listener) (caller net.Conn, server *conn) {
	t.Helper()
	caller, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	server = accepted.(*conn)
	server.idleSince = time.Now()
	return caller, server
}

func listenForCallers(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return NewListener(l, 0)
}

// Guards against requests that are lost with a connection that is closed as idle, although they had arrived before: they were
// unread, or read and not yet recorded.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	l := listenForCallers(t)
	for _, reading := range []bool{false, true} {
		for range 500 {
			caller, server := connect(t, l)
			read := make(chan error, 1)
			if reading {
				go func() {
					_, err := server.Read(make([]byte, 1))
					read <- err
				}()
			}
			_, err := caller.Write([]byte("x"))
			assert.NilError(t, err)
			assert.NilError(t, server.closeIfIdle(time.Now().Add(time.Hour)))
			assert.Assert(t, !server.closed, "reading: %v", reading)
			if reading {
				assert.NilError(t, <-read)
			}
			assert.NilError(t, server.Close())
			assert.NilError(t, caller.Close())
		}
	}
}

// Guards against a drain that ends while a request on a connection is unread, whereupon http.Server.Shutdown closed it as idle
// when the request had just begun.
func TestDrainWaitsForConnectionWithUnreadRequest(t *testing.T) {
	l := listenForCallers(t)
	caller, server := connect(t, l)
	_, err := caller.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, !l.closeUnused(time.Now().Add(time.Hour)))
	_, err = server.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, !l.closeUnused(time.Now().Add(time.Hour)))
	server.setState(http.StateActive)
	assert.Assert(t, !l.closeUnused(time.Now().Add(time.Hour)))
	server.setState(http.StateIdle)
	assert.Assert(t, l.closeUnused(time.Now().Add(time.Hour)))
	_, err = caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

func TestDrainClosesConnectionWithoutRequest(t *testing.T) {
	l := listenForCallers(t)
	_, server := connect(t, l)
	server.idleSince = time.Time{}
	assert.Assert(t, !l.closeUnused(time.Now()))
	server.accepted = time.Now().Add(-neverUsedTimeout - time.Second)
	assert.Assert(t, l.closeUnused(time.Now()))
}

// Guards against a close that waits for a read and a read that waits for the close.
func TestIdleCloseEndsReadInProgress(t *testing.T) {
	l := listenForCallers(t)
	for range 500 {
		caller, server := connect(t, l)
		read := make(chan error, 1)
		go func() {
			_, err := server.Read(make([]byte, 1))
			read <- err
		}()
		assert.NilError(t, server.closeIfIdle(time.Now().Add(time.Hour)))
		assert.Assert(t, <-read != nil)
		_, err := caller.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.NilError(t, caller.Close())
	}
}
