package wslink

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"

	"github.com/coder/websocket"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer/pki"
)

// subprotocol identifies this protocol and its version in the WebSocket handshake.
const subprotocol = "hawthornrill.peer.1"

const (
	// closeReasonProtocol is the close reason sent to an end that violated the protocol.
	closeReasonProtocol = "protocol violation"
	// closeReasonIdentity is the close reason sent to an end with the wrong identity.
	closeReasonIdentity = "wrong identity"
)

// sendHello sends the member record of this process.
func (t *Transport) sendHello(ctx context.Context, conn *websocket.Conn) error {
	self := t.options.Self
	data, err := encodeFrame(&frame{Kind: kindHello, Member: &self})
	if err != nil {
		return fmt.Errorf("wslink: encode hello: %w", err)
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("wslink: send hello: %w", err)
	}
	return nil
}

// readHello returns the member record in the remote end's hello.
func readHello(ctx context.Context, conn *websocket.Conn) (domain.Member, error) {
	var buffer bytes.Buffer
	f, _, err := readFrame(ctx, conn, &buffer)
	if err != nil {
		return domain.Member{}, fmt.Errorf("wslink: read hello: %w", err)
	}
	if f.Kind != kindHello {
		return domain.Member{}, fmt.Errorf("%w: first frame is not a hello", ErrProtocol)
	}
	return *f.Member, nil
}

// checkCertificate returns ErrIdentity unless the remote end's certificate names the
// node. Links without TLS are not checked.
func (t *Transport) checkCertificate(state *tls.ConnectionState, node domain.NodeID) error {
	if t.options.Credentials == nil {
		return nil
	}
	if state == nil || len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w: %w", ErrIdentity, pki.ErrNoCertificate)
	}
	if err := pki.VerifyNode(state.PeerCertificates[0], node); err != nil {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return nil
}

// isOwnIncarnation reports whether a hello names this incarnation of this node.
func (t *Transport) isOwnIncarnation(hello domain.Member) bool {
	return hello.SameIncarnation(t.options.Self)
}
