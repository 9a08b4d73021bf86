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
	// secretMode lets only the owner read a file.
	secretMode        = 0o600
	sessionSecretName = "session.secret"
	operatorKeyName   = "operator.key"
)

// files are the secrets of the demo's nodes, in a directory of their own: one for
// session tokens, the operator's key, and a certificate for each node.
type files struct {
	directory string
	authority *pki.Authority
}

// newFiles makes the directory, the secret and an authority. remove must be called.
func newFiles() (*files, error) {
	directory, err := os.MkdirTemp("", "hawthornrill-demo-")
	if err != nil {
		return nil, err
	}
	f := &files{directory: directory}
	if f.authority, err = pki.NewAuthority(time.Now()); err != nil {
		return f, err
	}
	secret := make([]byte, session.MinSecretBytes)
	_, _ = rand.Read(secret) // never fails
	if err := f.write(sessionSecretName, []byte(hex.EncodeToString(secret))); err != nil {
		return f, err
	}
	return f, f.write(operatorKeyName, []byte(OperatorKey))
}

func (f *files) path(name string) string { return filepath.Join(f.directory, name) }

func (f *files) write(name string, text []byte) error {
	return os.WriteFile(f.path(name), text, secretMode)
}

// sessionSecret is the path of the secret.
func (f *files) sessionSecret() string { return f.path(sessionSecretName) }

// operatorKey is the path of the operator's key, as hawthornctl takes it.
func (f *files) operatorKey() string { return f.path(operatorKeyName) }

// issue writes a certificate for the node.
func (f *files) issue(node domain.NodeID) (settings.TLS, error) {
	pem, err := f.authority.Issue(node, time.Now())
	if err != nil {
		return settings.TLS{}, err
	}
	name := string(node)
	for suffix, text := range map[string][]byte{".pem": pem.Certificate, ".key": pem.Key, ".ca": pem.Authorities} {
		if err := f.write(name+suffix, text); err != nil {
			return settings.TLS{}, err
		}
	}
	return settings.TLS{CA: f.path(name + ".ca"), Certificate: f.path(name + ".pem"), Key: f.path(name + ".key")}, nil
}

func (f *files) remove() {
	if f != nil {
		_ = os.RemoveAll(f.directory)
	}
}
