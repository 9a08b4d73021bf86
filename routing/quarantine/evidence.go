package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Evidence is the state of one content with regard to one endpoint, or its clearance, as exchanged
// between nodes.
type Evidence struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Endpoint is a hash of the endpoint's identifier.
	Endpoint uint64 `cbor:"2,keyasint,omitempty"`
	// Crashes is the number of the endpoint's crashes during which the content was running; 0 if the
	// evidence clears the content.
	Crashes int `cbor:"3,keyasint,omitempty"`
	// Alone is true if the content was the only one running during at least one of the crashes.
	Alone bool `cbor:"4,keyasint,omitempty"`
	// Age is the time since the last crash, or since the content completed.
	Age time.Duration `cbor:"5,keyasint"`
}

// Clears reports whether the evidence records a completion.
func (e Evidence) Clears() bool { return e.Crashes == 0 }

// hash returns a hash of all fields except the age.
func (e Evidence) hash() uint64 {
	var b [25]byte
	binary.LittleEndian.PutUint64(b[0:], e.Fingerprint)
	binary.LittleEndian.PutUint64(b[8:], e.Endpoint)
	binary.LittleEndian.PutUint64(b[16:], uint64(e.Crashes))
	if e.Alone {
		b[24] = 1
	}
	return xxhash.Sum64(b[:])
}
