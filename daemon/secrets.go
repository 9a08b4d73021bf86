package daemon

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/session"
)

// sessionSecrets reads the secrets that sign session tokens. Without files it
// generates one; session tokens are then valid only on this node and until it
// restarts.
func sessionSecrets(files []string, log zerolog.Logger) ([][]byte, error) {
	if len(files) == 0 {
		log.Warn().Msg("sessions.secret_files is empty: session tokens are valid only on this node and until it restarts")
		secret := make([]byte, session.MinSecretBytes)
		_, err := rand.Read(secret)
		return [][]byte{secret}, err
	}
	var secrets [][]byte
	for i, file := range files {
		secret, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("daemon: sessions.secret_files[%d]: %w", i, err)
		}
		secrets = append(secrets, bytes.TrimSpace(secret))
	}
	return secrets, nil
}
