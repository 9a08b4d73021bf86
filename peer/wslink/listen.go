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

// maxHeaderBytes limits the HTTP header of a request to the peer listener.
const maxHeaderBytes = 16 << 10

// Serve accepts links on the listener until the context ends, with TLS if the
// transport has credentials. It does not end open links; Close does.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) error {
	listener = wrapListener(listener)
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

// wrapListener wraps the listener's connections such that frames of a link that has ended are not delivered later.
func wrapListener(listener net.Listener) net.Listener { return netdial.Listener{Listener: listener} }
