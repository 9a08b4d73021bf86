// Package server runs a stand-in's HTTP interface so that it can go away and
// come back as a process does: while it is down its address refuses connections,
// and going down cuts all that were open.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a handler at an address.
type Server struct {
	handler http.Handler
	grace   time.Duration

	mu       sync.Mutex
	listener net.Listener
	address  string
	up       bool
	changed  chan struct{}
}

const (
	// DefaultShutdownTimeout is how long open requests may take at the end.
	DefaultShutdownTimeout = 10 * time.Second
	// listenRetry is the pause between attempts to get the address back.
	listenRetry       = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
)

// Listen opens the address, "IP:port"; port 0 stands for any free one.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return &Server{
		handler:  handler,
		grace:    DefaultShutdownTimeout,
		listener: listener,
		address:  listener.Addr().String(),
		up:       true,
		changed:  make(chan struct{}),
	}, nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.address }

// URL returns "http://IP:port".
func (s *Server) URL() string { return "http://" + s.address }

// SetAvailable says whether the server is to answer. It returns at once.
func (s *Server) SetAvailable(up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up == up {
		return
	}
	s.up = up
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) state() (up bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up, s.changed
}

// Run serves until the context ends; then it lets open requests finish, for at
// most DefaultShutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		up, changed := s.state()
		if up {
			if err := s.serve(ctx, changed); err != nil {
				return err
			}
			continue
		}
		s.closeListener()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	s.closeListener()
	return nil
}

// serve answers until the server is to go down or the context ends.
func (s *Server) serve(ctx context.Context, changed <-chan struct{}) error {
	listener, err := s.listen(ctx)
	if err != nil {
		return nil // The context has ended.
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case <-changed:
		_ = server.Close()
	case <-ctx.Done():
		s.shutdown(server)
	case err := <-served:
		return fmt.Errorf("server: %w", err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("server: %w", err)
	}
	return nil
}

func (s *Server) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), s.grace)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// listen takes the listener that is open, or gets the address back.
func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	if l := s.takeListener(); l != nil {
		return l, nil
	}
	for {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return listener, nil
		}
		select {
		case <-time.After(listenRetry):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (s *Server) takeListener() net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.listener
	s.listener = nil
	return l
}

// closeListener closes the first listener if it was never served.
func (s *Server) closeListener() {
	if l := s.takeListener(); l != nil {
		_ = l.Close()
	}
}
