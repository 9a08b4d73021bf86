package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/operatorapi"
)

// pipeListener is an in-memory listener, so that a server can run under testing/synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	}
}

// Guards against an operator's edit whose connection is cut off at shutdown: the operator is not told whether it was accepted.
func TestOperatorsRequestInProgressIsAnsweredAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		s := newServer(listener, operatorsShutdownTimeout(0), zerolog.Nop(), func(e *echo.Echo) {
			e.GET("/edit", func(c echo.Context) error {
				time.Sleep(operatorapi.MaxRequestTime - time.Second)
				return c.NoContent(http.StatusOK)
			})
		})
		served := make(chan error, 1)
		go func() { served <- s.serve() }()
		client := &http.Client{Transport: &http.Transport{DialContext: listener.dial}}
		defer client.CloseIdleConnections()
		answered := make(chan error, 1)
		go func() {
			response, err := client.Get("http://operators/edit")
			if err == nil {
				err = response.Body.Close()
			}
			answered <- err
		}()
		synctest.Wait()
		s.close()
		assert.NilError(t, <-answered)
		assert.NilError(t, <-served)
	})
}

func TestShutdownLimitBoundsTheWaitForOperators(t *testing.T) {
	assert.Equal(t, operatorsShutdownTimeout(0), operatorapi.MaxRequestTime)
	assert.Equal(t, operatorsShutdownTimeout(10*time.Second), 10*time.Second)
	assert.Equal(t, operatorsShutdownTimeout(time.Hour), operatorapi.MaxRequestTime)
}
