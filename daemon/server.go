package daemon

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/callers"
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
	listener *callers.Listener
	log      zerolog.Logger
	// plain is true once the server serves without TLS, closing once its listener is being closed.
	plain, closing atomic.Bool
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
	s := &server{
		listener:        callers.NewListener(listener, 0),
		log:             logger,
		shutdownTimeout: shutdownTimeout,
	}
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.trackState,
		ErrorLog:          log.New(logging.LineWriter{Logger: logger, Level: zerolog.DebugLevel}, "", 0),
	}
	return s
}

func (s *server) trackState(c net.Conn, state http.ConnState) {
	if s.plain.Load() {
		callers.TrackState(c, state)
	}
}

// serve handles requests until close is called.
func (s *server) serve() error {
	s.plain.Store(true)
	return s.result(s.http.Serve(s.listener))
}

// serveTLS is like serve, with the certificate and the key of the given files.
func (s *server) serveTLS(certificate, key string) error {
	return s.result(s.http.ServeTLS(s.listener.Listener, certificate, key))
}

// result returns the error with which net/http stopped serving, nil if close caused it.
func (s *server) result(err error) error {
	if errors.Is(err, http.ErrServerClosed) || s.closing.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// close shuts the server down. Active requests have shutdownTimeout to complete;
// then their connections are closed.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdownTimeout)
	defer cancel()
	if err := s.shutdown(ctx); err != nil {
		s.log.Warn().Err(err).Str("address", s.listener.Addr().String()).Msg("shutdown: connections are cut off")
		_ = s.http.Close()
	}
}

// shutdown serves what has arrived and closes the connections. With TLS that is left to net/http, as it tells the callers of
// HTTP/2 which requests it has not read.
func (s *server) shutdown(ctx context.Context) error {
	if s.plain.Load() {
		if err := s.listener.IgnoreNewConnections(); err != nil {
			s.log.Warn().Err(err).Msg("shutdown: connections that are established in this moment may be reset")
		}
		s.closing.Store(true)
		if err := s.listener.StopAccepting(); err != nil {
			return err
		}
		if err := s.listener.CloseConnections(ctx, callers.UnusedBeforeClose); err != nil {
			return err
		}
	}
	return s.listener.Shutdown(ctx, s.http)
}
