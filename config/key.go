package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

var errKeyHash = errors.New("config: not a hexadecimal SHA-256 hash")

// HashKey returns the SHA-256 hash of an API key. Snapshot indexes organisations
// by this hash.
func HashKey(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// FormatKeyHash returns the hash in the form used in the key_hashes column.
func FormatKeyHash(hash [32]byte) string { return hex.EncodeToString(hash[:]) }

func parseKeyHash(text string) ([32]byte, error) {
	var hash [32]byte
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, errKeyHash
	}
	copy(hash[:], raw)
	return hash, nil
}
