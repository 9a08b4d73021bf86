package daemon

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/logging"
)

const (
	// readHeaderTimeout limits reading the header of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout limits the shutdown of a server after the node was drained.
	shutdownTimeout = 5 * time.Second
)

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// newServer returns a server of the routes that register adds.
func newServer(listener net.Listener, logger zerolog.Logger, register func(*echo.Echo)) *server {
	e := echo.New()
	register(e)
	return &server{
		listener: listener,
		http: &http.Server{
			Handler:           e,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          log.New(logging.LineWriter{Logger: logger, Level: zerolog.DebugLevel}, "", 0),
		},
	}
}

// serve handles requests until close is called.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveTLS is like serve, with the certificate and the key of the given files.
func (s *server) serveTLS(certificate, key string) error {
	err := s.http.ServeTLS(s.listener, certificate, key)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close shuts the server down. Active requests have shutdownTimeout to complete;
// then their connections are closed.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}
