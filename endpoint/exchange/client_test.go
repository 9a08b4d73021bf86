package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/httpresponse"
)

// server answers the requests on each connection with fixed texts.
type server struct {
	address     string
	connections atomic.Int64
	received    chan string
}

// serve starts a server that answers the requests on each connection with these texts in turn and
// then closes it. Each request's line, host and body are sent to received.
func serve(t *testing.T, texts ...string) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String(), received: make(chan string, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.answer(c, texts)
		}
	}()
	return s
}

func (s *server) answer(c net.Conn, texts []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		s.received <- request.Method + " " + request.RequestURI + " " + request.Host + " " + string(body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func (s *server) request(id string) *Request {
	return &Request{
		Endpoint: domain.EndpointID("e"), Address: s.address, Method: http.MethodPost, Target: "/a%2Fb?x=%20y", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		Matches: func(_ int, h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func answerTo(id, more, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "\r\n" + body
}

func send(t *testing.T, c *Client, r *Request) (string, error) {
	t.Helper()
	return sendWith(context.Background(), c, r)
}

func sendWith(ctx context.Context, c *Client, r *Request) (string, error) {
	answer, err := c.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestRequestIsSentUnchanged(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok"))
	body, err := send(t, New(Options{}, metrics.NewSet()), s.request("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, <-s.received, "POST /a%2Fb?x=%20y h.example body")
}

func TestConnectionReuse(t *testing.T) {
	ok := func(id string) string { return answerTo(id, "Content-Length: 2\r\n", "ok") }
	tests := []struct {
		name        string
		first       string
		connections int64
	}{
		{"complete", ok("1"), 1},
		{"connection close", answerTo("1", "Connection: close\r\nContent-Length: 2\r\n", "ok"), 2},
		{"zero idle timeout", answerTo("1", "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n", "ok"), 2},
		{"repeated idle timeout", answerTo("1", "Keep-Alive: timeout=5\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n", "ok"), 2},
		{"negative idle timeout", answerTo("1", "Keep-Alive: timeout=-5\r\nContent-Length: 2\r\n", "ok"), 2},
		{"malformed idle timeout", answerTo("1", "Keep-Alive: timeout=soon\r\nContent-Length: 2\r\n", "ok"), 2},
		{"huge idle timeout", answerTo("1", "Keep-Alive: timeout=10000000000\r\nContent-Length: 2\r\n", "ok"), 1},
		{"trailing data", answerTo("1", "Content-Length: 2\r\n", "okmore"), 2},
		{"chunked", answerTo("1", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := serve(t, test.first, ok("2"))
			c := New(Options{}, metrics.NewSet())
			body, err := send(t, c, s.request("1"))
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			r := s.request("2")
			if test.connections > 1 {
				// On the second connection the server starts with the first text again.
				r.Matches = nil
			}
			_, err = send(t, c, r)
			assert.NilError(t, err)
			assert.Equal(t, s.connections.Load(), test.connections)
		})
	}
}

func TestStaleAnswerIsSkipped(t *testing.T) {
	late := answerTo("0", "Content-Length: 4\r\n", "late")
	s := serve(t, late+answerTo("1", "Content-Length: 2\r\n", "ok"))
	body, err := send(t, New(Options{}, metrics.NewSet()), s.request("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

func TestLongestStaleAnswerIsSkipped(t *testing.T) {
	for size, want := range map[int]error{maxDiscardBytes: nil, maxDiscardBytes + 1: errNotDiscardable} {
		response := &http.Response{ContentLength: int64(size), Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size)))}
		assert.ErrorIs(t, discard(response), want, "%d bytes", size)
	}
}

func TestUnusableResponses(t *testing.T) {
	tests := []struct{ name, text string }{
		{"malformed", "rubbish\r\n\r\n"},
		{"empty", ""},
		{"header too long", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 2*httpresponse.MaxHeadBytes) + "\r\n\r\n"},
		{"only stale responses", strings.Repeat(answerTo("0", "Content-Length: 0\r\n", ""), maxStaleResponses+2)},
		{"stale response of unknown length", answerTo("0", "", "late")},
		{"truncated body", answerTo("1", "Content-Length: 100\r\n", "part")},
		{"truncated chunk", answerTo("1", "Transfer-Encoding: chunked\r\n", "5\r\npar")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := serve(t, test.text)
			_, err := send(t, New(Options{}, metrics.NewSet()), s.request("1"))
			assert.Assert(t, errors.Is(err, endpoint.ErrBroken), "%v", err)
			assert.Assert(t, !errors.Is(err, endpoint.ErrNotDispatched))
		})
	}
}

func TestNotDispatchedIsReported(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = send(t, New(Options{}, metrics.NewSet()), (&server{address: address}).request("1"))
	assert.Assert(t, errors.Is(err, endpoint.ErrNotDispatched))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = New(Options{}, metrics.NewSet()).Send(ctx, (&server{address: address}).request("1"))
	assert.Assert(t, errors.Is(err, endpoint.ErrNotDispatched))
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok")) // closes the connection after each response
	c := New(Options{}, metrics.NewSet())
	for range 3 {
		_, err := send(t, c, s.request("1"))
		assert.NilError(t, err)
		waitClosed(c)
	}
	assert.Equal(t, s.connections.Load(), int64(3))
}

// waitClosed returns once the idle connection has received the peer's close.
func waitClosed(c *Client) {
	for {
		conn := c.takeIdle("e")
		if conn == nil {
			return
		}
		reusable := conn.reusable()
		c.putIdle("e", conn, time.Minute)
		if !reusable {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestPruneIdleClosesConnectionsOfUnlistedEndpoints(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok"), answerTo("1", "Content-Length: 2\r\n", "ok"))
	c := New(Options{}, metrics.NewSet())
	_, err := send(t, c, s.request("1"))
	assert.NilError(t, err)
	c.PruneIdle(func(domain.EndpointID) bool { return true })
	assert.Equal(t, len(c.idle), 1)
	c.PruneIdle(func(domain.EndpointID) bool { return false })
	assert.Equal(t, len(c.idle), 0)
}

func TestContextEndClosesConnection(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 100\r\n", "part"), "")
	ctx, cancel := context.WithCancel(context.Background())
	answer, err := New(Options{}, metrics.NewSet()).Send(ctx, s.request("1"))
	assert.NilError(t, err)
	defer answer.Close()
	cancel()
	_, err = io.ReadAll(answer)
	assert.Assert(t, errors.Is(err, endpoint.ErrBroken))
}

func TestBoundOnOpenConnections(t *testing.T) {
	c := New(Options{MaxConnections: 1}, metrics.NewSet())
	ok := answerTo("1", "Content-Length: 2\r\n", "ok")
	first, second := serve(t, ok, ok), serve(t, ok, ok)
	toFirst, toSecond := first.request("1"), second.request("1")
	toSecond.Endpoint = "f"

	held, err := c.Send(context.Background(), toFirst)
	assert.NilError(t, err)
	_, err = c.Send(context.Background(), toSecond)
	assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
	assert.ErrorIs(t, err, errTooManyConnections)
	_, err = io.ReadAll(held)
	assert.NilError(t, err)
	held.Close()

	// The connection is idle now and is closed to make room.
	_, err = send(t, c, toSecond)
	assert.NilError(t, err)
	assert.Equal(t, c.open.Load(), int64(1))
}

func TestBoundOnIdleConnections(t *testing.T) {
	c := New(Options{MaxIdle: func(domain.EndpointID) int { return 0 }}, metrics.NewSet())
	ok := answerTo("1", "Content-Length: 2\r\n", "ok")
	s := serve(t, ok)
	for range 2 {
		_, err := send(t, c, s.request("1"))
		assert.NilError(t, err)
	}
	assert.Equal(t, s.connections.Load(), int64(2))
	assert.Equal(t, c.open.Load(), int64(0))
}

func TestNothingIsSentWithoutPermit(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok"))
	c := New(Options{}, metrics.NewSet())
	r := s.request("1")
	denied := errors.New("denied")
	r.Permit = func() error { return denied }
	_, err := send(t, c, r)
	assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
	assert.ErrorIs(t, err, denied)
	assert.Equal(t, len(s.received), 0)
	assert.Equal(t, c.open.Load(), int64(0))
}
