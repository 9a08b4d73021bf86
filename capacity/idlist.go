package capacity

import (
	"encoding/binary"
	"errors"
	"slices"
)

var errMalformedIDList = errors.New("capacity: malformed list of identifiers")

// digest summarises a set of identifiers: their number and the exclusive or of their
// mixed values.
type digest struct {
	Count int    `cbor:"1,keyasint,omitempty"`
	Sum   uint64 `cbor:"2,keyasint,omitempty"`
}

func (d *digest) add(id requestID) {
	d.Count++
	d.Sum ^= mix(uint64(id))
}

func (d *digest) remove(id requestID) {
	d.Count--
	d.Sum ^= mix(uint64(id))
}

// encodeIDs sorts the identifiers and returns their differences as varints.
func encodeIDs(ids []requestID) []byte {
	slices.Sort(ids)
	var out []byte
	var last requestID
	for _, id := range ids {
		out = binary.AppendUvarint(out, uint64(id-last))
		last = id
	}
	return out
}

// decodeIDs is the inverse of encodeIDs.
func decodeIDs(data []byte) ([]requestID, error) {
	var ids []requestID
	var last requestID
	for len(data) > 0 {
		difference, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, errMalformedIDList
		}
		last += requestID(difference)
		ids = append(ids, last)
		data = data[n:]
	}
	return ids, nil
}
