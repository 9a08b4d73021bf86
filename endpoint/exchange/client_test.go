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
)

// server answers each request on a connection with the next of the texts.
type server struct {
	address     string
	connections atomic.Int64
	received    chan string
}

// serve starts a server whose connections answer their requests with these texts in turn and then close. Each request's
// head is sent to received.
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
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func answerTo(id, more, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "\r\n" + body
}

func send(t *testing.T, c *Client, r *Request) (string, error) {
	t.Helper()
	answer, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestRequestIsSentAsItIs(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok"))
	body, err := send(t, New(Options{}, metrics.NewSet()), s.request("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, <-s.received, "POST /a%2Fb?x=%20y h.example body")
}

func TestReuseOfConnections(t *testing.T) {
	ok := func(id string) string { return answerTo(id, "Content-Length: 2\r\n", "ok") }
	tests := []struct {
		name        string
		first       string
		connections int64
	}{
		{"whole answer", ok("1"), 1},
		{"the endpoint says that it closes", answerTo("1", "Connection: close\r\nContent-Length: 2\r\n", "ok"), 2},
		{"no time to be idle", answerTo("1", "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n", "ok"), 2},
		{"bytes after the answer", answerTo("1", "Content-Length: 2\r\n", "okmore"), 2},
		{"chunks", answerTo("1", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), 1},
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
				// The second connection begins with the first text again.
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

func TestAnswersThatCantBeUsed(t *testing.T) {
	tests := []struct{ name, text string }{
		{"rubbish", "rubbish\r\n\r\n"},
		{"nothing", ""},
		{"a head without an end", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n"},
		{"only others' answers", strings.Repeat(answerTo("0", "Content-Length: 0\r\n", ""), maxStale+2)},
		{"another's answer without an end mark", answerTo("0", "", "late")},
		{"too short a body", answerTo("1", "Content-Length: 100\r\n", "part")},
		{"a chunk that breaks off", answerTo("1", "Transfer-Encoding: chunked\r\n", "5\r\npar")},
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

func TestNothingSentIsSaid(t *testing.T) {
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
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok")) // closes after each answer
	c := New(Options{}, metrics.NewSet())
	for range 3 {
		_, err := send(t, c, s.request("1"))
		assert.NilError(t, err)
		waitClosed(c)
	}
	assert.Equal(t, s.connections.Load(), int64(3))
}

// waitClosed returns once the idle connection has seen the other side's end.
func waitClosed(c *Client) {
	for {
		conn := c.take("e")
		if conn == nil {
			return
		}
		quiet := conn.quiet()
		c.keep("e", conn, time.Minute)
		if !quiet {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestForgottenEndpointsHaveNoConnections(t *testing.T) {
	s := serve(t, answerTo("1", "Content-Length: 2\r\n", "ok"), answerTo("1", "Content-Length: 2\r\n", "ok"))
	c := New(Options{}, metrics.NewSet())
	_, err := send(t, c, s.request("1"))
	assert.NilError(t, err)
	c.PruneIdle(func(domain.EndpointID) bool { return true })
	assert.Equal(t, len(c.idle), 1)
	c.PruneIdle(func(domain.EndpointID) bool { return false })
	assert.Equal(t, len(c.idle), 0)
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
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
	assert.ErrorIs(t, err, errTooMany)
	_, err = io.ReadAll(held)
	assert.NilError(t, err)
	held.Close()

	// The connection that is idle now makes room.
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
