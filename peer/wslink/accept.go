package wslink

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/coder/websocket"

	"hawthornrill.example/hawthornrill/domain"
)

// Handler returns the HTTP handler that accepts links. It must be mounted at Path on
// the peer listener, which must use pki.ServerConfig if the transport uses TLS.
func (t *Transport) Handler() http.Handler { return http.HandlerFunc(t.accept) }

// accept upgrades the connection to WebSocket, exchanges hellos and starts the link.
func (t *Transport) accept(w http.ResponseWriter, r *http.Request) {
	if t.isClosing() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	if t.options.Credentials == nil && !isLoopback(r.RemoteAddr) {
		http.Error(w, "plain links are accepted on loopback only", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		t.options.Logger.Debug().Err(err).Str("remote", r.RemoteAddr).Msg("peer link not accepted")
		return
	}
	conn.SetReadLimit(int64(t.options.MaxFrameBytes))
	hello, err := t.acceptHello(conn, r)
	if err != nil {
		t.reject(conn, r.RemoteAddr, hello.Node, err)
		return
	}
	t.addLink(newLink(t, conn, hello, false))
}

// acceptHello exchanges hellos on an accepted connection and checks the identity of
// the dialling node.
func (t *Transport) acceptHello(conn *websocket.Conn, r *http.Request) (domain.Member, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.options.DialTimeout)
	defer cancel()
	if conn.Subprotocol() != subprotocol {
		return domain.Member{}, fmt.Errorf("%w: unsupported subprotocol %q", ErrProtocol, conn.Subprotocol())
	}
	hello, err := readHello(ctx, conn)
	if err != nil {
		return domain.Member{}, err
	}
	if t.isOwnIncarnation(hello) {
		return domain.Member{}, fmt.Errorf("%w: %s is this process itself", ErrIdentity, hello)
	}
	if err := t.checkCertificate(r.TLS, hello.Node); err != nil {
		return hello, err
	}
	return hello, t.sendHello(ctx, conn)
}

// reject closes a connection whose hello exchange failed, and reports the failure if
// the remote end caused it.
func (t *Transport) reject(conn *websocket.Conn, address string, node domain.NodeID, err error) {
	reason := closeReasonIdentity
	if !errors.Is(err, ErrIdentity) {
		reason = closeReasonProtocol
	}
	if errors.Is(err, ErrIdentity) || errors.Is(err, ErrProtocol) {
		t.reportViolation(domain.NodeID(hostOf(address)+" as "+string(node)), err)
	}
	_ = conn.Close(websocket.StatusPolicyViolation, reason)
}
