// Package responsetest is a stand-in of servers in trouble: it sends any bytes as a response.
package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Server responds to the first request on each connection. It is safe for concurrent use.
type Server struct {
	// Address is "IP:port".
	Address string
	// Requests and Connections count what was received.
	Requests, Connections atomic.Int64
}

// Serve starts a server that reads a request whole, sends the text and ends its side of the connection.
func Serve(t testing.TB, text string) *Server {
	return Respond(t, func(connection *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, text)
		_ = connection.CloseWrite()
	})
}

// ServeOpen is Serve without the end: the connection stays open until the client closes it.
func ServeOpen(t testing.TB, text string) *Server {
	return Respond(t, func(connection *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, text)
	})
}

// Respond starts a server that has each connection's first request answered by respond. Its body has not been read. Further
// requests on the connection are counted only; it is closed once the client has closed it.
func Respond(t testing.TB, respond func(*net.TCPConn, *http.Request)) *Server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.serve(connection.(*net.TCPConn), respond)
		}
	}()
	return s
}

func (s *Server) serve(connection *net.TCPConn, respond func(*net.TCPConn, *http.Request)) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.Requests.Add(1)
		if first {
			respond(connection, request)
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}
