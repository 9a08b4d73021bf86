package document

import "slices"

// MaxPartBytes is the maximum size of a part made by NewValue.
const MaxPartBytes = 256 << 10

// Value is the content of a document: a byte string divided into parts. Parts are
// the unit of storage and transfer, so a change within one part transfers only
// that part. Authors of large values should place the boundaries so that changes
// stay local; the boundaries have no other meaning. A part holds at most
// store.MaxValueBytes.
type Value struct {
	Parts [][]byte
}

// NewValue divides data into parts of at most MaxPartBytes.
func NewValue(data []byte) Value {
	return Value{Parts: slices.Collect(slices.Chunk(data, MaxPartBytes))}
}

// Bytes returns the parts joined together.
func (v Value) Bytes() []byte { return slices.Concat(v.Parts...) }
