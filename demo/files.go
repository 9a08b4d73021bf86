package demo

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer/pki"
	"hawthornrill.example/hawthornrill/session"
	"hawthornrill.example/hawthornrill/settings"
)

const (
	// secretFileMode gives access to the owner only.
	secretFileMode    = 0o600
	sessionSecretName = "session.secret"
	operatorKeyName   = "operator.key"
)

// secretFiles is a temporary directory with the nodes' secrets: the secret for
// session tokens, the operator's key, and a certificate for each node.
type secretFiles struct {
	directory string
	authority *pki.Authority
}

// newSecretFiles creates the directory, the session secret, the operator's key and a
// certificate authority. The caller must call remove.
func newSecretFiles() (*secretFiles, error) {
	directory, err := os.MkdirTemp("", "hawthornrill-demo-")
	if err != nil {
		return nil, err
	}
	f := &secretFiles{directory: directory}
	if f.authority, err = pki.NewAuthority(time.Now()); err != nil {
		return f, err
	}
	secret := make([]byte, session.MinSecretBytes)
	_, _ = rand.Read(secret) // never fails
	if err := f.writeFile(sessionSecretName, []byte(hex.EncodeToString(secret))); err != nil {
		return f, err
	}
	return f, f.writeFile(operatorKeyName, []byte(OperatorKey))
}

func (f *secretFiles) path(name string) string { return filepath.Join(f.directory, name) }

func (f *secretFiles) writeFile(name string, text []byte) error {
	return os.WriteFile(f.path(name), text, secretFileMode)
}

// sessionSecretPath returns the path of the session secret.
func (f *secretFiles) sessionSecretPath() string { return f.path(sessionSecretName) }

// operatorKeyPath returns the path of the operator's key, for hawthornctl's -key-file.
func (f *secretFiles) operatorKeyPath() string { return f.path(operatorKeyName) }

// issueCertificate issues a certificate for the node and writes it to the directory.
func (f *secretFiles) issueCertificate(node domain.NodeID) (settings.TLS, error) {
	pem, err := f.authority.Issue(node, time.Now())
	if err != nil {
		return settings.TLS{}, err
	}
	name := string(node)
	for suffix, text := range map[string][]byte{".pem": pem.Certificate, ".key": pem.Key, ".ca": pem.Authorities} {
		if err := f.writeFile(name+suffix, text); err != nil {
			return settings.TLS{}, err
		}
	}
	return settings.TLS{CA: f.path(name + ".ca"), Certificate: f.path(name + ".pem"), Key: f.path(name + ".key")}, nil
}

func (f *secretFiles) remove() {
	if f != nil {
		_ = os.RemoveAll(f.directory)
	}
}
