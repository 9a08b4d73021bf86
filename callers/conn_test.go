package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// hookedListener calls a function before each read of its connections.
type hookedListener struct {
	net.Listener
	reading func()
}

type hookedConn struct {
	net.Conn
	reading func()
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return hookedConn{c, l.reading}, err
}

func (c hookedConn) Read(p []byte) (int, error) {
	c.reading()
	// Reading byte by byte ensures that there are reads in the middle of the head.
	return c.Conn.Read(p[:1])
}

const testRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// sendTwoRequests sends two requests on one connection and calls drain while the head of the second one is being read.
func sendTwoRequests(t *testing.T, drain func(*http.Server, *Listener)) (*http.Response, error) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	t.Cleanup(func() { _ = server.Close() })
	reads := 0
	var listener *Listener
	listener = NewListener(hookedListener{raw, func() {
		if reads++; reads == len(testRequest)+len(testRequest)/2 {
			drain(server, listener)
		}
	}}, 0)
	server.ConnState = TrackState
	go func() { _ = server.Serve(listener) }()
	c, err := net.Dial("tcp4", raw.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	var response *http.Response
	for range 2 {
		_, err = io.WriteString(c, testRequest)
		assert.NilError(t, err)
		if response, err = http.ReadResponse(reader, nil); err != nil {
			return nil, err
		}
		if _, err = io.ReadAll(response.Body); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// A request whose head has arrived in part when the node starts to drain must be served: net/http would close the
// connection as idle, and the request would be dispatched and its response lost.
func TestPartialRequestIsServedDuringDrain(t *testing.T) {
	response, err := sendTwoRequests(t, func(server *http.Server, l *Listener) {
		l.draining.Store(true)
		server.SetKeepAlivesEnabled(false)
	})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
}

func TestIdleSweepKeepsConnectionWithPartialRequest(t *testing.T) {
	near, far := net.Pipe()
	c := &conn{Conn: near, listener: NewListener(nil, 0), idle: true, idleSince: time.Now()}
	go func() { _, _ = far.Write([]byte("G")) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, c.closeIfIdle(time.Now().Add(time.Hour)))
	go func() { _, _ = far.Write([]byte("E")) }()
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

func TestReadFailsAfterIdleClose(t *testing.T) {
	near, far := net.Pipe()
	c := &conn{Conn: near, listener: NewListener(nil, 0), idle: true, idleSince: time.Now()}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	assert.NilError(t, c.closeIfIdle(time.Now().Add(time.Hour)))
	assert.Assert(t, <-read != nil)
	_, err := far.Write([]byte("x"))
	assert.Assert(t, err != nil)
}

// pipeListener accepts one end of a new pipe without blocking.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

func TestConnectionsWaitAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewListener(pipeListener{}, 2)
		accepted := make(chan net.Conn, 3)
		go func() {
			for range 3 {
				c, _ := l.Accept()
				accepted <- c
			}
		}()
		synctest.Wait()
		assert.Equal(t, len(accepted), 2)
		assert.NilError(t, (<-accepted).Close())
		synctest.Wait()
		assert.Equal(t, len(accepted), 2, "closing a connection must let the third one in")
	})
}

// closedWhileRead is a connection that is closed while its bytes are being read.
type closedWhileRead struct {
	net.Conn
	close func() error
}

func (c closedWhileRead) Read(p []byte) (int, error) { return len(p), c.close() }

func TestReadDuringCloseReturnsNoBytes(t *testing.T) {
	near, _ := net.Pipe()
	c := &conn{listener: NewListener(nil, 0), idle: true, idleSince: time.Now()}
	c.Conn = closedWhileRead{near, func() error { return c.closeIfIdle(time.Now().Add(time.Hour)) }}
	n, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, n, 0)
}

func TestIdleSweepClosesIdleConnections(t *testing.T) {
	tests := []struct {
		name   string
		conn   conn
		limit  time.Duration
		closed bool
	}{
		{"idle for longer than the limit", conn{idle: true, idleSince: time.Now().Add(-time.Hour)}, time.Minute, true},
		{"idle for less than the limit", conn{idle: true, idleSince: time.Now().Add(-time.Hour)}, 2 * time.Hour, false},
		{"no limit", conn{idle: true, idleSince: time.Now().Add(-time.Hour)}, 0, false},
		{"request in progress", conn{idleSince: time.Now().Add(-time.Hour)}, time.Minute, false},
		{"part of a request read", conn{idle: true, requestStarted: true, idleSince: time.Now().Add(-time.Hour)}, time.Minute, false},
		{"no request yet", conn{idle: true}, time.Minute, false},
	}
	for i := range tests {
		test := &tests[i]
		l := NewListener(nil, 0)
		c := &test.conn
		c.Conn, _ = net.Pipe()
		c.listener = l
		l.open[c] = true
		l.CloseIdle(test.limit)
		assert.Equal(t, c.closed, test.closed, test.name)
		assert.Equal(t, len(l.open) == 0, test.closed, test.name)
	}
}
