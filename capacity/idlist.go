package capacity

import (
	"encoding/binary"
	"errors"
	"slices"
)

// errIDList means that a list of identifiers does not decode.
var errIDList = errors.New("capacity: malformed list of identifiers")

// digest sums up a set of identifiers: their number and the exclusive or of
// their mixed values.
type digest struct {
	Count int    `cbor:"1,keyasint,omitempty"`
	Sum   uint64 `cbor:"2,keyasint,omitempty"`
}

func (d *digest) add(id askID) {
	d.Count++
	d.Sum ^= mix(uint64(id))
}

func (d *digest) remove(id askID) {
	d.Count--
	d.Sum ^= mix(uint64(id))
}

// encodeIDs returns the identifiers, sorted, as the varints of their differences.
func encodeIDs(ids []askID) []byte {
	slices.Sort(ids)
	var out []byte
	var last askID
	for _, id := range ids {
		out = binary.AppendUvarint(out, uint64(id-last))
		last = id
	}
	return out
}

// decodeIDs is the inverse of encodeIDs.
func decodeIDs(data []byte) ([]askID, error) {
	var ids []askID
	var last askID
	for len(data) > 0 {
		difference, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, errIDList
		}
		last += askID(difference)
		ids = append(ids, last)
		data = data[n:]
	}
	return ids, nil
}
