package wslink

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"

	"github.com/coder/websocket"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/peer/pki"
)

// dial opens a link to whichever incarnation of the node answers. It does not start
// the link's goroutines.
func (t *Transport) dial(to domain.Member) (*link, error) {
	if t.options.Credentials == nil && !isLoopback(to.Address) {
		return nil, fmt.Errorf("%w: dial %q", ErrTLSRequired, to.Address)
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.options.DialTimeout)
	defer cancel()
	t.metrics.dials.Inc()
	conn, err := t.upgrade(ctx, to)
	if err != nil {
		return nil, err
	}
	found, err := t.exchangeHello(ctx, conn, to.Node)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(t, conn, found, true), nil
}

// upgrade opens a WebSocket connection to the node. With TLS, the handshake fails
// unless the certificate names the node.
func (t *Transport) upgrade(ctx context.Context, to domain.Member) (*websocket.Conn, error) {
	roundTripper := httpresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return t.options.Dial(ctx, to.Address)
		},
		DialTLSContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return t.dialTLS(ctx, to)
		},
		DisableKeepAlives: true,
	})
	scheme := "ws"
	if t.options.Credentials != nil {
		scheme = "wss"
	}
	conn, _, err := websocket.Dial(ctx, scheme+"://"+to.Address+Path, &websocket.DialOptions{
		HTTPClient:   &http.Client{Transport: roundTripper},
		Subprotocols: []string{subprotocol},
	})
	if err != nil {
		return nil, fmt.Errorf("wslink: dial %s: %w", to.Address, err)
	}
	conn.SetReadLimit(int64(t.options.MaxFrameBytes))
	return conn, nil
}

func (t *Transport) dialTLS(ctx context.Context, to domain.Member) (net.Conn, error) {
	raw, err := t.options.Dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, pki.ClientConfig(t.options.Credentials, to.Node))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// exchangeHello exchanges hellos on a dialled connection and checks that the dialled
// node answered.
func (t *Transport) exchangeHello(ctx context.Context, conn *websocket.Conn, node domain.NodeID) (domain.Member, error) {
	if conn.Subprotocol() != subprotocol {
		return domain.Member{}, fmt.Errorf("%w: unsupported subprotocol %q", ErrProtocol, conn.Subprotocol())
	}
	if err := t.sendHello(ctx, conn); err != nil {
		return domain.Member{}, err
	}
	found, err := readHello(ctx, conn)
	if err != nil {
		return domain.Member{}, err
	}
	if found.Node != node {
		return domain.Member{}, fmt.Errorf("%w: dialled node %q, node %q answered", ErrIdentity, node, found.Node)
	}
	return found, nil
}
