package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// KeyHash stands for a request key in records and messages: the first 128 bits
// of the SHA-256 of its parts. The organisation is part of it, so that nobody can
// construct a key that meets another organisation's.
type KeyHash [16]byte

// hashKey returns the hash of a key.
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

// score ranks a node for a key: the highest is first in rendezvous order. It
// depends on the node, not on its life, so that a restart moves no other key.
func (h KeyHash) score(node uint64) uint64 {
	var block [24]byte
	copy(block[:], h[:])
	binary.LittleEndian.PutUint64(block[16:], node)
	return xxhash.Sum64(block[:])
}

// hashNode returns the part of a score that belongs to a node.
func hashNode(node domain.NodeID) uint64 { return xxhash.Sum64String(string(node)) }
