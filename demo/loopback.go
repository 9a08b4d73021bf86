package demo

import (
	"errors"
	"net"
	"net/http"
)

// loopback is the address that the demo listens on; port 0 selects a free port.
const loopback = "127.0.0.1:0"

// httpServer is an HTTP server on a free loopback port.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

// newHTTPServer opens the listener; serve must be called to answer requests.
func newHTTPServer(handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	return &httpServer{server: &http.Server{Handler: handler}, listener: listener}, nil
}

// url returns the server's base URL.
func (s *httpServer) url() string { return "http://" + s.listener.Addr().String() }

// serve serves requests until close.
func (s *httpServer) serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *httpServer) close() { _ = s.server.Close() }
