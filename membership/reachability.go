package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// reachability is a delegate's report on whether it reaches another data centre.
type reachability struct {
	Node        domain.NodeID      `cbor:"1,keyasint"`
	Incarnation domain.Incarnation `cbor:"2,keyasint"`
	DataCentre  domain.DataCentre  `cbor:"3,keyasint"`
	// Sequence rises with each change.
	Sequence  uint64 `cbor:"4,keyasint"`
	Reachable bool   `cbor:"5,keyasint,omitempty"`
}

// reachabilityKey identifies a report by its delegate and data centre.
type reachabilityKey struct {
	node domain.NodeID
	dc   domain.DataCentre
}

func (r reachability) key() reachabilityKey { return reachabilityKey{r.Node, r.DataCentre} }

// supersedes reports whether r is later than o.
func (r reachability) supersedes(o reachability) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// hash returns the report's part in the table digest.
func (r reachability) hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, r.Node...)
	buffer = append(buffer, 0)
	buffer = append(buffer, r.DataCentre...)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(r.Incarnation))
	buffer = binary.LittleEndian.AppendUint64(buffer, r.Sequence)
	return xxhash.Sum64(buffer)
}
