package document

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/google/uuid"
)

// EditID names an edit. Its author makes it once, for all attempts.
type EditID = uuid.UUID

// NewEditID returns a random identifier.
func NewEditID() EditID { return uuid.New() }

// Stamp orders the versions of a document. The zero value stands for none.
//
// Generations are consecutive as long as the store keeps what it acknowledged.
// Two versions can have the same generation only after the store was restored
// from an old copy and edited before any node could tell; then the greater edit
// identifier counts as the later one, on every node alike.
type Stamp struct {
	Generation uint64 `cbor:"1,keyasint" json:"generation"`
	Edit       EditID `cbor:"2,keyasint" json:"edit"`
}

// Compare is negative if s is earlier than o, positive if it is later.
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
