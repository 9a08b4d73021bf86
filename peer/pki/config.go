package pki

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
)

// protocols are offered in the handshake. WebSocket runs over HTTP/1.1.
var protocols = []string{"http/1.1"}

// ServerConfig returns the configuration of a peer listener. Each handshake uses
// the credentials as they are then, and demands a certificate that one of the
// trusted authorities signed. Which node it names is for the caller to check.
func ServerConfig(credentials Credentials) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return serverConfig(credentials.Current()), nil
		},
	}
}

func serverConfig(bundle *Bundle) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{bundle.Certificate},
		ClientCAs:              bundle.Roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

// ClientConfig returns the configuration for dialling the node, with the
// credentials as they are now. The handshake fails unless the other side's
// certificate is signed by a trusted authority and names the node.
func ClientConfig(credentials Credentials, node domain.NodeID) *tls.Config {
	bundle := credentials.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{bundle.Certificate},
		// Nodes are dialled by IP address and known by name: the whole check is in
		// VerifyConnection, which the handshake always calls.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state.PeerCertificates, bundle.Roots, node)
		},
	}
}

// verifyServer checks the chain, its dates, its purpose and its name.
func verifyServer(chain []*x509.Certificate, roots *x509.CertPool, node domain.NodeID) error {
	if len(chain) == 0 {
		return ErrNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := chain[0].Verify(options); err != nil {
		return fmt.Errorf("pki: verify: %w", err)
	}
	return VerifyNode(chain[0], node)
}
