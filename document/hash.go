package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is the SHA-256 of a part, or of a manifest.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal notation.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

func hashOf(data []byte) Hash { return sha256.Sum256(data) }
