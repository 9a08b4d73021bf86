package wslink

import (
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

var (
	// ErrTLSRequired means that a link without TLS was requested on an address that is
	// not loopback.
	ErrTLSRequired = errors.New("wslink: links without TLS are allowed on loopback only")
	// ErrProtocol means that the remote end violated the protocol.
	ErrProtocol = errors.New("wslink: protocol violation")
	// ErrIdentity means that the remote end is not the node that was dialled, or not
	// the node that its hello names.
	ErrIdentity = errors.New("wslink: wrong identity")
	// ErrClosed means that the transport is closing.
	ErrClosed = errors.New("wslink: transport closed")
	// ErrBackoff means that the last dial failed and its backoff has not elapsed.
	ErrBackoff = errors.New("wslink: dial backoff in progress")
	// ErrOverload means that the limit on outstanding calls or queued bytes is
	// reached.
	ErrOverload = errors.New("wslink: link overloaded")
	// ErrTooLarge means that a frame exceeds the maximum size.
	ErrTooLarge = errors.New("wslink: frame too large")
	// ErrPingTimeout means that the remote end did not answer a ping, or did not
	// complete the closing of a link, in time.
	ErrPingTimeout = errors.New("wslink: no answer to ping")

	// errDraining means that the link accepts no new calls; another may be opened.
	errDraining = errors.New("wslink: link is closing")
)

// IncarnationMismatchError means that the node is running in another incarnation than
// the one called. It wraps peer.ErrNotSent.
type IncarnationMismatchError struct {
	// Called is the incarnation that was called, Found the one that is running.
	Called, Found domain.Member
}

// Error names both incarnations.
func (e *IncarnationMismatchError) Error() string {
	return fmt.Sprintf("wslink: incarnation mismatch: called %s, found %s", e.Called, e.Found)
}

// Unwrap returns peer.ErrNotSent.
func (e *IncarnationMismatchError) Unwrap() error { return peer.ErrNotSent }
