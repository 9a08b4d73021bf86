package entry

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"hawthornrill.example/hawthornrill/domain"
)

// KeyHeader is the HTTP header that carries the request's key, both ways.
const KeyHeader = "Idempotency-Key"

const (
	// maxKeyBytes is the longest key accepted.
	maxKeyBytes  = 200
	mintedPrefix = "hr1."
)

// mint returns a new key which the given life of a node decides about.
func mint(self domain.Member) string {
	node := base64.RawURLEncoding.EncodeToString([]byte(self.Node))
	incarnation := strconv.FormatUint(uint64(self.Incarnation), 36)
	return mintedPrefix + node + "." + incarnation + "." + uuid.NewString()
}

// mintedScope returns the scope that a minted key names.
func mintedScope(key string) (domain.Scope, bool) {
	rest, ok := strings.CutPrefix(key, mintedPrefix)
	if !ok {
		return domain.Scope{}, false
	}
	parts := strings.Split(rest, ".")
	if len(parts) != 3 {
		return domain.Scope{}, false
	}
	node, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil || len(node) == 0 {
		return domain.Scope{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return domain.Scope{}, false
	}
	scope := domain.Scope{Kind: domain.ScopeNode, Node: domain.NodeID(node), Incarnation: domain.Incarnation(incarnation)}
	return scope, true
}

// checkKey returns a problem if the key is too long or has characters other than
// printable ASCII.
func checkKey(key string) *Problem {
	if len(key) > maxKeyBytes {
		return invalid(400, "invalid_key", KeyHeader, "%s must have at most %d characters", KeyHeader, maxKeyBytes)
	}
	for _, r := range key {
		if r <= ' ' || r > '~' {
			return invalid(400, "invalid_key", KeyHeader, "%s must be printable ASCII without spaces", KeyHeader)
		}
	}
	return nil
}
