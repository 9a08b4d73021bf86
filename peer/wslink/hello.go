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

// subprotocol names this protocol and its version in the WebSocket handshake.
const subprotocol = "hawthornrill.peer.1"

const (
	// closeReasonNonsense is what an end that broke the protocol is told.
	closeReasonNonsense = "protocol violation"
	// closeReasonIdentity is what an end with the wrong name is told.
	closeReasonIdentity = "wrong identity"
)

// sendHello tells the other end which life this is.
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

// readHello returns which life the other end says it is.
func readHello(ctx context.Context, conn *websocket.Conn) (domain.Member, error) {
	var buffer bytes.Buffer
	f, _, err := readFrame(ctx, conn, &buffer)
	if err != nil {
		return domain.Member{}, fmt.Errorf("wslink: read hello: %w", err)
	}
	if f.Kind != kindHello {
		return domain.Member{}, fmt.Errorf("%w: no hello", ErrProtocol)
	}
	return *f.Member, nil
}

// checkCertificate returns ErrIdentity unless the other end's certificate names
// the node. Plain links have none to check.
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

// isSameLife reports whether a hello claims to be this very life.
func (t *Transport) isSameLife(hello domain.Member) bool {
	return hello.SameLife(t.options.Self)
}
