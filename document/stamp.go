package document

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/google/uuid"
)

// EditID identifies an edit. Its author generates it once and reuses it for retries.
type EditID = uuid.UUID

// NewEditID returns a random edit identifier.
func NewEditID() EditID { return uuid.New() }

// Stamp identifies and orders the versions of a document. The zero value means no
// version.
//
// Generations are consecutive as long as the store keeps acknowledged writes. Two
// versions can have the same generation only if the store was restored from an
// old backup and then edited before any node detected it. The version with the
// greater edit identifier then counts as the later one on every node.
type Stamp struct {
	Generation uint64 `cbor:"1,keyasint" json:"generation"`
	Edit       EditID `cbor:"2,keyasint" json:"edit"`
}

// Compare returns a negative number if s is earlier than o, a positive one if it is
// later, and zero if they are equal.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Generation, o.Generation); c != 0 {
		return c
	}
	return bytes.Compare(s.Edit[:], o.Edit[:])
}

// After reports whether s is later than o.
func (s Stamp) After(o Stamp) bool { return s.Compare(o) > 0 }

// String returns "generation/edit".
func (s Stamp) String() string { return fmt.Sprintf("%d/%s", s.Generation, s.Edit) }
