package pki

import (
	"crypto/tls"
	"crypto/x509"
)

// Bundle is a node's own certificate and the authorities it trusts. It must not
// be changed.
type Bundle struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// Credentials give the bundle to use for the next handshake. Links that are open
// keep what they were opened with. Implementations are safe for concurrent use.
type Credentials interface {
	Current() *Bundle
}

// Static credentials never change.
type Static struct{ bundle *Bundle }

// NewStatic returns credentials that never change.
func NewStatic(bundle *Bundle) Static { return Static{bundle} }

// Current returns the bundle.
func (s Static) Current() *Bundle { return s.bundle }
