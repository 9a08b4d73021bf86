package wslink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/logging"
	"hawthornrill.example/hawthornrill/netdial"
	"hawthornrill.example/hawthornrill/peer/pki"
)

// maxHeaderBytes bounds the header of a request to the peer listener.
const maxHeaderBytes = 16 << 10

// Serve accepts links on the listener until the context ends, with TLS if the
// transport has credentials. Open links outlive it; Close ends them.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) error {
	listener = accepted(listener)
	if t.options.Credentials != nil {
		listener = tls.NewListener(listener, pki.ServerConfig(t.options.Credentials))
	}
	mux := http.NewServeMux()
	mux.Handle(Path, t.Handler())
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: t.options.DialTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(logging.LineWriter{Logger: t.options.Logger, Level: zerolog.DebugLevel}, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) && ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("wslink: serve: %w", err)
}

// accepted makes the listener's connections such that frames of a link that has ended are not delivered later.
func accepted(listener net.Listener) net.Listener { return netdial.Listener{Listener: listener} }
