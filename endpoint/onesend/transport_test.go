package onesend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
)

// closingServer answers the first request on each connection and closes the connection after
// reading the second. It counts the requests it has read.
type closingServer struct {
	net.Listener
	requests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &closingServer{Listener: l}
	go s.accept()
	return s
}

func (s *closingServer) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *closingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for answered := false; ; answered = true {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if answered {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func send(ctx context.Context, t *testing.T, transport *onesend.Transport, method, url, body string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", "k")
	response, err := transport.Send(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.Body.Close()
}

func TestSendsOnceOverDeadPooledConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for name, body := range map[string]string{"empty": "", "body": "price"} {
			t.Run(method+" "+name, func(t *testing.T) {
				server := newClosingServer(t)
				transport := onesend.New(onesend.Options{})
				url := "http://" + server.Addr().String()
				assert.NilError(t, send(t.Context(), t, transport, method, url, body))
				err := send(t.Context(), t, transport, method, url, body)
				assert.ErrorIs(t, err, endpoint.ErrBroken)
				assert.Equal(t, server.requests.Load(), int64(2))
			})
		}
	}
}

func TestNotDispatched(t *testing.T) {
	server := newClosingServer(t)
	closed := newClosingServer(t)
	assert.NilError(t, closed.Close())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx context.Context
		url string
	}{
		"refused":               {t.Context(), "http://" + closed.Addr().String()},
		"cancelled":             {cancelled, "http://" + server.Addr().String()},
		"bad address":           {t.Context(), "http://127.0.0.1:1:1"},
		"plain in place of TLS": {t.Context(), "https://" + server.Addr().String()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(test.ctx, http.MethodPost, "http://x", strings.NewReader("b"))
			assert.NilError(t, err)
			request.URL.Scheme, request.URL.Host, _ = strings.Cut(test.url, "://")
			_, err = onesend.New(onesend.Options{}).Send(request)
			assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
		})
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Addr().String(), strings.NewReader("short"))
	assert.NilError(t, err)
	request.ContentLength = 100
	_, err = onesend.New(onesend.Options{}).Send(request)
	assert.ErrorIs(t, err, endpoint.ErrNotDispatched, "nothing was written to the connection")
	assert.Equal(t, server.requests.Load(), int64(0))
}
