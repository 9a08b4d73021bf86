package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// serveEndless starts a server that answers each request with the beginning of a response, followed by the same text without end until
// the client closes the connection. Each closed connection sends the number of bytes written.
func serveEndless(t *testing.T, begin, repeated string) (s *server, closed chan int) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan int, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go writeEndless(c, begin, repeated, closed)
		}
	}()
	return &server{address: l.Addr().String()}, closed
}

func writeEndless(c net.Conn, begin, repeated string, closed chan int) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text, written := begin, 0
	for {
		n, err := io.WriteString(c, text)
		written += n
		if err != nil {
			closed <- written
			return
		}
		text = strings.Repeat(repeated, max(1, 4096/len(repeated)))
	}
}

const (
	// endlessTimeout is after how long a client that still reads counts as reading without end.
	endlessTimeout = 5 * time.Second
	// maxUnreadBytes bounds what the kernels buffer between the server and a client that has stopped reading.
	maxUnreadBytes = 16 << 20
)

// Guards against endpoints whose response has a head without end. Interim responses came through for ever, since each of them was a
// head of its own.
func TestEndlessHeadIsBroken(t *testing.T) {
	for name, test := range map[string]struct{ begin, repeated string }{
		"status line":            {"HTTP/1.1 200 ", "x"},
		"header field":           {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header fields":          {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"continuation lines":     {"HTTP/1.1 200 OK\r\nX-Folded: y\r\n", " z\r\n"},
		"interim responses":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":            {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"blank lines":            {"", "\r\n"},
		"no response":            {"", "\x00\x01garbage"},
		"responses to others":    {"", answerTo("2", "Content-Length: 3\r\n", "abc")},
		"body of another's":      {answerTo("2", "Transfer-Encoding: chunked\r\n", ""), "5\r\nabcde\r\n"},
		"unframed body of other": {answerTo("2", "", ""), "abcde"},
	} {
		for _, handshake := range []time.Duration{0, endlessTimeout} {
			t.Run(name, func(t *testing.T) {
				s, closed := serveEndless(t, test.begin, test.repeated)
				c := New(Options{}, metrics.NewSet())
				ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
				defer cancel()
				r := s.request("1")
				r.Handshake = handshake
				response, err := c.Send(ctx, r)
				if err == nil { // a receiver that asks for no body responds to whatever was sent
					response.Close()
				}
				assert.Assert(t, err != nil || handshake > 0)
				assert.NilError(t, ctx.Err(), "the client reads for ever")
				assert.Assert(t, <-closed < maxUnreadBytes)
				assert.Equal(t, c.open.Load(), int64(0))
			})
		}
	}
}

// Guards against bodies whose framing has no end being read for ever.
func TestEndlessFramingIsBroken(t *testing.T) {
	for name, test := range map[string]struct{ begin, repeated string }{
		"chunk size":           {answerTo("1", "Transfer-Encoding: chunked\r\n", ""), "0"},
		"chunk extension":      {answerTo("1", "Transfer-Encoding: chunked\r\n", "1;e="), "x"},
		"many chunk extension": {answerTo("1", "Transfer-Encoding: chunked\r\n", ""), "1;e=" + strings.Repeat("x", 2000) + "\r\na\r\n"},
		"trailer":              {answerTo("1", "Transfer-Encoding: chunked\r\n", "0\r\nX-Long: "), "x"},
		"trailers":             {answerTo("1", "Transfer-Encoding: chunked\r\n", "0\r\n"), "X-More: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, closed := serveEndless(t, test.begin, test.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
			defer cancel()
			response, err := New(Options{}, metrics.NewSet()).Send(ctx, s.request("1"))
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response)
			assert.ErrorIs(t, err, endpoint.ErrBroken)
			assert.NilError(t, ctx.Err(), "the client reads for ever")
			response.Close()
			assert.Assert(t, <-closed < maxUnreadBytes)
		})
	}
}

// Guards against a connection that is kept after a whole answer and on which bytes then come without end.
func TestIdleConnectionWithUnreadBytesIsClosed(t *testing.T) {
	s, closed := serveEndless(t, answerTo("1", "Keep-Alive: timeout=3600\r\nContent-Length: 2\r\n", "ok"), "more")
	c := New(Options{}, metrics.NewSet())
	for range 20 { // the bytes may arrive with the answer, and then the connection isn't kept
		response, err := c.Send(context.Background(), s.request("1"))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response)
		assert.NilError(t, err)
		response.Close()
		for c.open.Load() > 0 {
			c.PruneIdle(func(domain.EndpointID) bool { return true })
		}
		assert.Assert(t, <-closed < maxUnreadBytes)
	}
}
