package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
)

// Key is an operator's API key, stored as its SHA-256.
type Key struct {
	// Name is the operator's name, recorded as the author of edits.
	Name string
	Hash [sha256.Size]byte
}

const bearerPrefix = "Bearer "

// operatorName returns the name of the operator whose key is in an Authorization
// header. It compares every key in constant time, so that its duration reveals
// nothing about them.
func operatorName(keys []Key, header string) (name string, ok bool) {
	token, found := strings.CutPrefix(header, bearerPrefix)
	hash := sha256.Sum256([]byte(token))
	for _, key := range keys {
		if subtle.ConstantTimeCompare(hash[:], key.Hash[:]) == 1 {
			name, ok = key.Name, true
		}
	}
	return name, ok && found
}
