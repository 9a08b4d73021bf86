package pki

import (
	"crypto/tls"
	"crypto/x509"
)

// Bundle holds a node's own certificate and the authorities that it trusts. It must
// not be modified.
type Bundle struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// Credentials provide the bundle for the next handshake. Open links are not affected
// when it changes. Implementations are safe for concurrent use.
type Credentials interface {
	Current() *Bundle
}

// Static is Credentials that never change.
type Static struct{ bundle *Bundle }

func NewStatic(bundle *Bundle) Static { return Static{bundle} }

// Current implements Credentials.
func (s Static) Current() *Bundle { return s.bundle }
