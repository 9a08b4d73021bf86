package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// contact is a delegate's word on whether it reaches another data centre.
type contact struct {
	Node        domain.NodeID      `cbor:"1,keyasint"`
	Incarnation domain.Incarnation `cbor:"2,keyasint"`
	DataCentre  domain.DataCentre  `cbor:"3,keyasint"`
	// Sequence rises with each change.
	Sequence uint64 `cbor:"4,keyasint"`
	Up       bool   `cbor:"5,keyasint,omitempty"`
}

// contactKey names a delegate and the data centre that it contacts.
type contactKey struct {
	node domain.NodeID
	dc   domain.DataCentre
}

func (c contact) key() contactKey { return contactKey{c.Node, c.DataCentre} }

// supersedes reports whether c is later than o.
func (c contact) supersedes(o contact) bool {
	if c.Incarnation != o.Incarnation {
		return c.Incarnation > o.Incarnation
	}
	return c.Sequence > o.Sequence
}

// hash sums up the contact for comparing tables.
func (c contact) hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, c.Node...)
	buffer = append(buffer, 0)
	buffer = append(buffer, c.DataCentre...)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(c.Incarnation))
	buffer = binary.LittleEndian.AppendUint64(buffer, c.Sequence)
	return xxhash.Sum64(buffer)
}
