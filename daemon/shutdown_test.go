package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

const openConnectionRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against requests that had arrived on open connections and are dropped when the callers' server is shut down.
func TestRequestsThatHaveArrivedAreAnsweredAtShutdown(t *testing.T) {
	const rounds, connections = 2, 100
	for range rounds {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		s := newServer(listener, shutdownTimeout, zerolog.Nop(), func(e *echo.Echo) {
			e.GET("/", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
		})
		served := make(chan error, 1)
		go func() { served <- s.serve() }()
		var readers []*bufio.Reader
		var callers []net.Conn
		for range connections {
			caller, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			reader := bufio.NewReader(caller)
			assert.NilError(t, exchange(caller, reader))
			callers, readers = append(callers, caller), append(readers, reader)
		}
		for _, caller := range callers {
			_, err := io.WriteString(caller, openConnectionRequest)
			assert.NilError(t, err)
		}
		s.close()
		for i, reader := range readers {
			_, err := http.ReadResponse(reader, nil)
			assert.Check(t, err, "connection %d", i)
			assert.NilError(t, callers[i].Close())
		}
		assert.NilError(t, <-served)
	}
}

func exchange(caller io.Writer, reader *bufio.Reader) error {
	if _, err := io.WriteString(caller, openConnectionRequest); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
