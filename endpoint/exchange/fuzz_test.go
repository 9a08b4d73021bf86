package exchange

import (
	"context"
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Guards against bytes of an endpoint that end the client, keep it reading, or leave a connection in use.
func FuzzResponse(f *testing.F) {
	f.Add(answerTo("1", "Content-Length: 2\r\n", "ok"))
	f.Add(answerTo("1", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"))
	f.Add(answerTo("2", "Content-Length: 2\r\n", "no") + answerTo("1", "", "ok"))
	f.Add("HTTP/1.1 100 Continue\r\n\r\n" + answerTo("1", "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n", ""))
	f.Add("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5;a=b\r\nabcde\r\n0\r\nT: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := serve(t, text)
		c := New(Options{MaxIdle: func(domain.EndpointID) int { return 0 }}, metrics.NewSet())
		response, err := c.Send(context.Background(), s.request("1"))
		if err != nil {
			if s.connections.Load() == 0 { // the connection could not be opened in time
				assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
			} else {
				assert.ErrorIs(t, err, endpoint.ErrBroken)
			}
			assert.Equal(t, c.open.Load(), int64(0))
			return
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			assert.ErrorIs(t, err, endpoint.ErrBroken)
		}
		response.Close()
		assert.Equal(t, c.open.Load(), int64(0))
	})
}
