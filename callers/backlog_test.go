package callers

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections that are reset because the node had not accepted them yet when it closed its listener: their
// callers may have sent requests.
func TestEstablishedConnectionsAreAcceptedAfterTheListenerIsClosed(t *testing.T) {
	const connections = 5
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(raw, 0)
	var callers []net.Conn
	for range connections {
		c, err := net.Dial("tcp4", raw.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "x")
		assert.NilError(t, err)
		callers = append(callers, c)
	}
	assert.NilError(t, l.StopAccepting())
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

// Guards against connections that are reset because they were established while the listener was being closed.
func TestConnectionsEstablishedDuringTheCloseAreAccepted(t *testing.T) {
	const rounds, dialers = 20, 16
	var running sync.WaitGroup
	for range rounds {
		running.Go(func() { closeWhileDialling(t, dialers) })
	}
	running.Wait()
}

func closeWhileDialling(t *testing.T, dialers int) {
	raw, err := Listen("127.0.0.1:0")
	if !assert.Check(t, err) {
		return
	}
	l := NewListener(raw, 0)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				_, _ = io.Copy(c, io.LimitReader(c, 1))
				_ = c.Close()
			}()
		}
	}()
	var dialling sync.WaitGroup
	for range dialers {
		dialling.Go(func() { dialUntilRefused(t, raw.Addr().String()) })
	}
	time.Sleep(time.Millisecond)
	assert.Check(t, l.IgnoreNewConnections())
	assert.Check(t, l.StopAccepting())
	dialling.Wait()
	<-accepted
}

// dialUntilRefused opens connections until one is refused, and checks that each was served.
func dialUntilRefused(t *testing.T, address string) {
	for {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		_, err = io.WriteString(c, "x")
		assert.Check(t, err)
		_, err = io.ReadFull(c, make([]byte, 1))
		assert.Check(t, err)
		_ = c.Close()
	}
}
