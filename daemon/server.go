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
	"hawthornrill.example/hawthornrill/operatorapi"
)

const (
	// readHeaderTimeout limits reading the header of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout limits the shutdown of the callers' server and of the peer
	// transport after the node was drained.
	shutdownTimeout = 5 * time.Second
)

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	// shutdownTimeout limits how long close waits for active requests.
	shutdownTimeout time.Duration
}

// operatorsShutdownTimeout returns the time that requests of operators have to
// complete, so that each is told the outcome of its edit. The limit is that of the
// whole shutdown, 0 for none.
func operatorsShutdownTimeout(limit time.Duration) time.Duration {
	if limit > 0 {
		return min(limit, operatorapi.MaxRequestTime)
	}
	return operatorapi.MaxRequestTime
}

// newServer returns a server of the routes that register adds.
func newServer(listener net.Listener, shutdownTimeout time.Duration, logger zerolog.Logger, register func(*echo.Echo)) *server {
	e := echo.New()
	register(e)
	return &server{
		listener:        listener,
		shutdownTimeout: shutdownTimeout,
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
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}
