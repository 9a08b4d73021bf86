package origin

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Messages between nodes are CBOR arrays, one a datagram; reports of the mesh are CBOR maps.

// messageKind is the kind of a message.
type messageKind uint8

const (
	kindRecords messageKind = iota + 1
	kindQuery
	kindReply
)

// message is a message to another node.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind messageKind
	// Query numbers a query of the sender, and repeats the number in the reply; 0 in a report of records.
	Query uint64
	// Key is what a query is about: a Key or, if the caller does not name the attempt, a StreamKey. In a reply it is the node
	// that replies.
	Key []byte
	// Known are the origins in a reply: none if it is not known, two if it is ambiguous.
	Known []Origin
	// Records are reported.
	Records []reportedRecord
}

// reportedRecord is a record as it is reported.
type reportedRecord struct {
	_          struct{} `cbor:",toarray"`
	Key        []byte
	Origin     Origin
	LeftMillis int64
	// Conflicting is true if the attempt has two origins.
	Conflicting bool
}

var errMalformed = errors.New("origin: malformed message")

func (m *message) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // can't fail: numbers, strings and lists of them
	}
	return data
}

func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	for _, o := range m.Known {
		if !o.valid() {
			return nil, fmt.Errorf("%w: a name is too long", errMalformed)
		}
	}
	for _, r := range m.Records {
		if _, ok := decodeKey(r.Key); !ok || !r.Origin.valid() || r.LeftMillis < 0 || r.LeftMillis > MaxRetention.Milliseconds() {
			return nil, fmt.Errorf("%w: record of %d ms", errMalformed, r.LeftMillis)
		}
	}
	return &m, nil
}

func (k Key) bytes() []byte { return append(k.Stream[:len(k.Stream):len(k.Stream)], k.Attempt[:]...) }

func decodeKey(data []byte) (Key, bool) {
	var k Key
	if len(data) != len(k.Stream)+len(k.Attempt) {
		return k, false
	}
	copy(k.Stream[:], data)
	copy(k.Attempt[:], data[len(k.Stream):])
	return k, true
}

func (r *reportedRecord) left() time.Duration { return time.Duration(r.LeftMillis) * time.Millisecond }
