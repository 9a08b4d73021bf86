package demo

import (
	"errors"
	"net"
	"net/http"
)

// loopback is where the demo listens; port 0 stands for any free one.
const loopback = "127.0.0.1:0"

// site is an HTTP server on a free loopback port.
type site struct {
	server   *http.Server
	listener net.Listener
}

// newSite opens a listener for the handler.
func newSite(handler http.Handler) (*site, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	return &site{server: &http.Server{Handler: handler}, listener: listener}, nil
}

// url returns the site's base URL.
func (s *site) url() string { return "http://" + s.listener.Addr().String() }

// serve answers until close.
func (s *site) serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *site) close() { _ = s.server.Close() }
