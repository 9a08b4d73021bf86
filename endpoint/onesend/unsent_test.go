package onesend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// unframed is a response whose body lasts until the connection ends.
const unframed = "HTTP/1.1 200 OK\r\n\r\npart"

// uploadBytes are sizes of a request's body below, about and above what the sockets' buffers hold.
var uploadBytes = []int{1, 4 << 10, 64 << 10, 300 << 10, 3 << 20, 8 << 20}

// manyCalls repeats what depends on the moment.
const manyCalls = 40

// countComplete sends requests with bodies of the size, some at a time, and returns how many responses came as complete.
func countComplete(t *testing.T, s *responsetest.Server, size int) int64 {
	transport := onesend.New(onesend.Options{})
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var complete atomic.Int64
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			for range manyCalls / 8 {
				body, err := receive(ctx, t, transport, s.Address, strings.NewReader(strings.Repeat("x", size)))
				if err == nil {
					complete.Add(1)
					assert.Check(t, body == "part", "%q", body)
				} else {
					assert.Check(t, !errors.Is(err, endpoint.ErrNotDispatched) && !errors.Is(err, context.DeadlineExceeded), "%v", err)
				}
			}
		})
	}
	calls.Wait()
	return complete.Load()
}

// Guards against a part of a response being taken for all of it: when the writer of the request gets the error of a reset, the reader
// of the response sees an ordinary end.
func TestPartOfResponseToUnsentRequestIsBroken(t *testing.T) {
	for _, size := range uploadBytes {
		for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, reset after %v", size, after), func(t *testing.T) {
				s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(connection, unframed)
					time.Sleep(after)
					_ = connection.SetLinger(0)
					_ = connection.Close()
				})
				assert.Equal(t, countComplete(t, s, size), int64(0))
			})
		}
	}
}

// Guards against the same when the server ends with most of the request unread, for which its kernel sends a reset.
func TestPartOfResponseOfServerThatEndsIsBroken(t *testing.T) {
	s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(connection, unframed)
		_ = connection.Close()
	})
	assert.Equal(t, countComplete(t, s, 8<<20), int64(0))
}

// Guards against a request that is still being sent when the response ends in good order: the server can't have read all of it.
func TestResponseThatEndsBeforeItsRequestIsBroken(t *testing.T) {
	s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(connection, unframed)
		_ = connection.CloseWrite()
		time.Sleep(20 * time.Millisecond) // the request is not read meanwhile
	})
	assert.Equal(t, countComplete(t, s, 8<<20), int64(0))
}

func TestResponseWithoutLengthIsComplete(t *testing.T) {
	for _, size := range uploadBytes {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			assert.Equal(t, countComplete(t, responsetest.Serve(t, unframed), size), int64(manyCalls))
		})
	}
}

func TestFramedResponseBeforeItsRequestIsComplete(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"} {
		s := responsetest.Respond(t, func(connection *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+framing)
			_, _ = io.Copy(io.Discard, request.Body)
		})
		assert.Equal(t, countComplete(t, s, 8<<20), int64(manyCalls))
	}
}
