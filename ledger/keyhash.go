package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// KeyHash identifies a request key in records and messages: the first 128 bits of the
// SHA-256 of its parts. The organisation is one of them, so that nobody can construct a
// key that collides with another organisation's.
type KeyHash [16]byte

func hashKey(key domain.RequestKey) KeyHash {
	buffer := make([]byte, 0, 256)
	buffer = append(buffer, byte(key.Scope.Kind))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(key.Scope.Incarnation))
	for _, part := range [...]string{
		string(key.Scope.DataCentre), string(key.Scope.Node),
		string(key.Organisation), key.Session, key.Client,
	} {
		buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return KeyHash(sum[:16])
}

// score ranks a node for a key: the highest is first in rendezvous order. It depends on
// the node and not on its incarnation, so that a restart moves no other key.
func (h KeyHash) score(node uint64) uint64 {
	var block [24]byte
	copy(block[:], h[:])
	binary.LittleEndian.PutUint64(block[16:], node)
	return xxhash.Sum64(block[:])
}

// hashNode returns the node's input to a score.
func hashNode(node domain.NodeID) uint64 { return xxhash.Sum64String(string(node)) }
