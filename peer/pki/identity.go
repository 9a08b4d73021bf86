package pki

import (
	"crypto/x509"
	"fmt"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// uriPrefix is the prefix of the URI that names a node.
const uriPrefix = "urn:hawthornrill:node:"

// VerifyNode returns ErrNameMismatch unless the certificate names the node. It does
// not verify the signature of the certificate.
func VerifyNode(certificate *x509.Certificate, node domain.NodeID) error {
	if node == "" {
		return fmt.Errorf("%w: empty node name", ErrNameMismatch)
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
