package exchange

import (
	"context"
	"errors"
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
	const calls, atATime = 20, 2
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
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var callers sync.WaitGroup
				for range atATime {
					callers.Go(func() {
						for range calls / atATime {
							sendUnanswered(ctx, t, c, s, size)
						}
					})
				}
				callers.Wait()
				assert.NilError(t, ctx.Err())
			})
		}
	}
}

// sendUnanswered sends a request and fails the test if its response counts as complete. A busy machine may not accept a connection in time;
// then nothing was sent, and it tries again.
func sendUnanswered(ctx context.Context, t *testing.T, c *Client, s *responsetest.Server, size int) {
	r := (&server{address: s.Address}).request("1")
	r.Body = make([]byte, size)
	for {
		body, err := sendWith(ctx, c, r)
		var dial *net.OpError
		if errors.Is(err, endpoint.ErrNotDispatched) && errors.As(err, &dial) && dial.Op == "dial" && ctx.Err() == nil {
			continue
		}
		assert.Check(t, errors.Is(err, endpoint.ErrBroken) && !errors.Is(err, endpoint.ErrNotDispatched), "%v, body %q", err, body)
		return
	}
}
