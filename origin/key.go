package origin

import (
	"crypto/sha256"
	"encoding/binary"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	organisationBytes = 4
	contentBytes      = 8
	attemptBytes      = 8
)

// StreamKey identifies the content of a request within its organisation. All attempts at a stream have the same.
type StreamKey [organisationBytes + contentBytes]byte

// Key identifies an attempt at a stream. Hashes are cryptographic, since ids and contents are the callers': nobody can make a
// key of another organisation.
type Key struct {
	Stream  StreamKey
	Attempt [attemptBytes]byte
}

// NewKey returns the key of an organisation's attempt. The content is a hash of the request.
func NewKey(organisation domain.OrganisationID, content uint64, attempt string) Key {
	var k Key
	org := sha256.Sum256([]byte(organisation))
	copy(k.Stream[:organisationBytes], org[:])
	body := sha256.Sum256(binary.LittleEndian.AppendUint64(org[:], content))
	copy(k.Stream[organisationBytes:], body[:])
	id := sha256.Sum256(append(org[:], attempt...))
	copy(k.Attempt[:], id[:])
	return k
}

// organisation identifies the key's organisation.
func (k StreamKey) organisation() [organisationBytes]byte {
	return [organisationBytes]byte(k[:organisationBytes])
}
