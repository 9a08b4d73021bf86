package pki

import (
	"crypto/x509"
	"fmt"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// uriPrefix begins the URI form of a node's name.
const uriPrefix = "urn:hawthornrill:node:"

// VerifyNode returns ErrNameMismatch unless the certificate names the node. It does
// not check who signed the certificate.
func VerifyNode(certificate *x509.Certificate, node domain.NodeID) error {
	if node == "" {
		return fmt.Errorf("%w: empty node", ErrNameMismatch)
	}
	if slices.Contains(certificate.DNSNames, string(node)) {
		return nil
	}
	for _, uri := range certificate.URIs {
		if uri.String() == uriPrefix+string(node) {
			return nil
		}
	}
	return fmt.Errorf("%w: %q", ErrNameMismatch, node)
}
