package demo

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"

	"hawthornrill.example/hawthornrill/session"
)

// secretFile is a file with a fresh secret for session tokens, in a directory of
// its own.
type secretFile struct{ directory, path string }

// newSecretFile writes the file. remove must be called.
func newSecretFile() (secretFile, error) {
	directory, err := os.MkdirTemp("", "hawthornrill-demo-")
	if err != nil {
		return secretFile{}, err
	}
	f := secretFile{directory: directory, path: filepath.Join(directory, "session.secret")}
	secret := make([]byte, session.MinSecretBytes)
	_, _ = rand.Read(secret) // never fails
	return f, os.WriteFile(f.path, []byte(hex.EncodeToString(secret)), 0o600)
}

func (f secretFile) remove() { _ = os.RemoveAll(f.directory) }
