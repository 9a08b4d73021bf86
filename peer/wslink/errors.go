package wslink

import (
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

var (
	// ErrTLSRequired means that links without TLS were asked for away from loopback.
	ErrTLSRequired = errors.New("wslink: links without TLS are allowed on loopback only")
	// ErrProtocol means that the other end broke the protocol.
	ErrProtocol = errors.New("wslink: protocol violation")
	// ErrIdentity means that the other end is not the node that was dialled or that
	// it says it is.
	ErrIdentity = errors.New("wslink: wrong identity")
	// ErrClosed means that the transport is closing.
	ErrClosed = errors.New("wslink: transport closed")
	// ErrBackoff means that dialling failed a moment ago and is not tried yet.
	ErrBackoff = errors.New("wslink: waiting before dialling again")
	// ErrOverload means that a bound on calls or bytes is reached.
	ErrOverload = errors.New("wslink: link overloaded")
	// ErrTooLarge means that a frame is larger than allowed.
	ErrTooLarge = errors.New("wslink: frame too large")
	// ErrPingTimeout means that the other end did not answer a ping.
	ErrPingTimeout = errors.New("wslink: no answer to ping")

	// errDraining means that the link takes no new calls; another may be opened.
	errDraining = errors.New("wslink: link is closing")
)

// IncarnationMismatchError means that the node runs, but in another life than the one
// called. It is a peer.ErrNotSent.
type IncarnationMismatchError struct {
	// Called is the life that was called, Found the one that answered.
	Called, Found domain.Member
}

// Error names both lives.
func (e *IncarnationMismatchError) Error() string {
	return fmt.Sprintf("wslink: %s called, %s answered", e.Called, e.Found)
}

// Unwrap returns peer.ErrNotSent.
func (e *IncarnationMismatchError) Unwrap() error { return peer.ErrNotSent }
