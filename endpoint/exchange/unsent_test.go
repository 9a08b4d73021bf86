package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against a part of a response being taken for all of it when the connection is reset while the request is being written.
func TestPartOfResponseToUnsentRequestIsBroken(t *testing.T) {
	const calls = 20
	for _, size := range []int{1, 64 << 10, 300 << 10, 3 << 20, 8 << 20} {
		for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, reset after %v", size, after), func(t *testing.T) {
				s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
					time.Sleep(after)
					_ = connection.SetLinger(0)
					_ = connection.Close()
				})
				c := New(Options{}, metrics.NewSet())
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var sent sync.WaitGroup
				for range calls {
					sent.Go(func() {
						r := (&server{address: s.Address}).request("1")
						r.Body = make([]byte, size)
						body, err := sendWith(ctx, c, r)
						assert.Check(t, err != nil, "complete with %q", body)
						assert.ErrorIs(t, err, endpoint.ErrBroken)
					})
				}
				sent.Wait()
				assert.NilError(t, ctx.Err())
			})
		}
	}
}
