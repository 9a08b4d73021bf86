package pki

import "errors"

var (
	// ErrNameMismatch means that a certificate does not name the node.
	ErrNameMismatch = errors.New("pki: certificate does not name the node")
	// ErrNoCertificate means that the other side showed no certificate.
	ErrNoCertificate = errors.New("pki: no certificate")
	// ErrBadFile means that a certificate, key or authority file can't be used.
	ErrBadFile = errors.New("pki: unusable file")
)
