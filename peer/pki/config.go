package pki

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
)

// protocols are offered by ALPN. WebSocket runs over HTTP/1.1.
var protocols = []string{"http/1.1"}

// ServerConfig returns the TLS configuration of a peer listener. Each handshake uses
// the credentials that are current at that time and requires a client certificate
// signed by a trusted authority. The caller must check which node the certificate
// names.
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

// ClientConfig returns the TLS configuration for dialling the node, with the current
// credentials. The handshake fails unless the server's certificate is signed by a
// trusted authority and names the node.
func ClientConfig(credentials Credentials, node domain.NodeID) *tls.Config {
	bundle := credentials.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{bundle.Certificate},
		// Nodes are dialled by IP address but certificates name nodes, so the standard
		// check does not apply. VerifyConnection, which every handshake calls, makes
		// the complete check instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state.PeerCertificates, bundle.Roots, node)
		},
	}
}

// verifyServer checks the certificate chain, its validity period, its key usage and
// the node that it names.
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
		return fmt.Errorf("pki: verify server certificate: %w", err)
	}
	return VerifyNode(chain[0], node)
}
