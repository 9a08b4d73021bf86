package pki

import "errors"

var (
	// ErrNameMismatch means that a certificate does not name the node.
	ErrNameMismatch = errors.New("pki: certificate does not name the node")
	// ErrNoCertificate means that the remote end presented no certificate.
	ErrNoCertificate = errors.New("pki: no certificate")
	// ErrBadFile means that a certificate, key or authority file is missing or invalid.
	ErrBadFile = errors.New("pki: invalid certificate, key or authority file")
)
