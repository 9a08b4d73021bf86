// Package server runs the HTTP interface of a simulated service and can simulate
// process restarts: while the server is down its address refuses connections, and
// going down closes all open ones.
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
	handler         http.Handler
	shutdownTimeout time.Duration

	mu       sync.Mutex
	listener net.Listener
	address  string
	up       bool
	changed  chan struct{}
}

const (
	// DefaultShutdownTimeout is how long open requests may take at shutdown.
	DefaultShutdownTimeout = 10 * time.Second
	// listenRetryInterval is the pause between attempts to listen at the address
	// again.
	listenRetryInterval = 100 * time.Millisecond
	readHeaderTimeout   = 10 * time.Second
)

// Listen listens at the address, "IP:port"; port 0 picks a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return &Server{
		handler:         handler,
		shutdownTimeout: DefaultShutdownTimeout,
		listener:        listener,
		address:         listener.Addr().String(),
		up:              true,
		changed:         make(chan struct{}),
	}, nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.address }

// URL returns "http://IP:port".
func (s *Server) URL() string { return "http://" + s.address }

// SetAvailable sets whether the server accepts connections. It returns without
// waiting for the change.
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

// Run serves until the context ends. It then waits for open requests to finish, at
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

// serve accepts connections until the server must go down or the context ends.
func (s *Server) serve(ctx context.Context, changed <-chan struct{}) error {
	listener, err := s.listen(ctx)
	if err != nil {
		return nil // Only when the context has ended.
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
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// listen returns the listener opened by Listen, or listens at the address again,
// retrying until that succeeds or the context ends.
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
		case <-time.After(listenRetryInterval):
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

// closeListener closes the listener opened by Listen if it was never served.
func (s *Server) closeListener() {
	if l := s.takeListener(); l != nil {
		_ = l.Close()
	}
}
