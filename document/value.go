package document

import "slices"

// MaxPartBytes bounds a part of a value.
const MaxPartBytes = 256 << 10

// Value is what a document holds: bytes, in parts. Parts are what is stored and
// sent; a change that touches one part costs one part, so an author with a large
// value cuts it where changes stay local. The cuts mean nothing else.
type Value struct {
	Parts [][]byte
}

// NewValue returns the value of the given bytes, cut only where it must be.
func NewValue(data []byte) Value {
	return Value{Parts: slices.Collect(slices.Chunk(data, MaxPartBytes))}
}

// Bytes returns the value's bytes.
func (v Value) Bytes() []byte { return slices.Concat(v.Parts...) }
