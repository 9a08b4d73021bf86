package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
)

// Key is an operator's key, known by its SHA-256.
type Key struct {
	// Name is the operator's; edits are accepted under it.
	Name string
	Hash [sha256.Size]byte
}

const bearer = "Bearer "

// operatorOf returns the name of the operator whose key is in an Authorization
// header. It takes the same time for all keys.
func operatorOf(keys []Key, header string) (name string, ok bool) {
	token, found := strings.CutPrefix(header, bearer)
	hash := sha256.Sum256([]byte(token))
	for _, key := range keys {
		if subtle.ConstantTimeCompare(hash[:], key.Hash[:]) == 1 {
			name, ok = key.Name, true
		}
	}
	return name, ok && found
}
