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
	// readHeaderTimeout bounds the header of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout bounds an unused connection.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the end of a server after its requests were drained.
	closeTimeout = 5 * time.Second
)

// server is an HTTP server on an open listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// newServer returns a server for the routes that register adds.
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

// serve answers until close.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveTLS is serve with the certificate of the given files.
func (s *server) serveTLS(certificate, key string) error {
	err := s.http.ServeTLS(s.listener, certificate, key)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close lets requests that are being answered finish, for a short time.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}
