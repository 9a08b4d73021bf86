package entry

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"hawthornrill.example/hawthornrill/domain"
)

// KeyHeader is the HTTP header that carries the request key in requests and
// responses.
const KeyHeader = "Idempotency-Key"

const (
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes        = 200
	generatedKeyPrefix = "hr1."
)

// generateKey returns a new key whose scope is the given incarnation of a node.
func generateKey(self domain.Member) string {
	node := base64.RawURLEncoding.EncodeToString([]byte(self.Node))
	incarnation := strconv.FormatUint(uint64(self.Incarnation), 36)
	return generatedKeyPrefix + node + "." + incarnation + "." + uuid.NewString()
}

// generatedKeyScope returns the scope encoded in a generated key.
func generatedKeyScope(key string) (domain.Scope, bool) {
	rest, ok := strings.CutPrefix(key, generatedKeyPrefix)
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

// checkKey returns a problem if the key is too long or contains characters other
// than printable ASCII.
func checkKey(key string) *Problem {
	if len(key) > maxKeyBytes {
		return invalidRequest(400, "invalid_key", KeyHeader, "%s must have at most %d characters", KeyHeader, maxKeyBytes)
	}
	for _, r := range key {
		if r <= ' ' || r > '~' {
			return invalidRequest(400, "invalid_key", KeyHeader, "%s must be printable ASCII without spaces", KeyHeader)
		}
	}
	return nil
}
