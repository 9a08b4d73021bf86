package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Validity is the lifetime of the certificates of an Authority.
const Validity = 30 * 24 * time.Hour

// serialBits is the size of the random serial numbers.
const serialBits = 120

// Authority is a certificate authority for tests and the demo. Its key is held in
// memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// PEM holds the PEM encodings of a node's certificate, its key and the certificates
// of the trusted authorities.
type PEM struct {
	Certificate []byte
	Key         []byte
	Authorities []byte
}

// NewAuthority creates an authority with a new key. Its certificate is valid from an
// hour before now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("pki: generate key: %w", err)
	}
	template, err := newTemplate("hawthornrill test authority", now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("pki: sign authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("pki: parse authority certificate: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue issues a certificate that names the node, for use as server and as client.
func (a *Authority) Issue(node domain.NodeID, now time.Time) (*PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("pki: generate key: %w", err)
	}
	template, err := newTemplate(string(node), now)
	if err != nil {
		return nil, err
	}
	template.DNSNames = []string{string(node)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, fmt.Errorf("pki: sign certificate of %s: %w", node, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("pki: encode key: %w", err)
	}
	return &PEM{
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", keyDER),
		Authorities: encode("CERTIFICATE", a.certificate.Raw),
	}, nil
}

// Bundle issues a certificate like Issue and returns it as a Bundle that trusts this
// authority.
func (a *Authority) Bundle(node domain.NodeID, now time.Time) (*Bundle, error) {
	files, err := a.Issue(node, now)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("pki: load key pair of %s: %w", node, err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return &Bundle{Certificate: certificate, Roots: roots}, nil
}

func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("pki: generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(Validity),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
