package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// intent is the state that a member announces for itself. Only the member changes
// it, and each change raises the record's version.
type intent uint8

const (
	// intentServing members accept work.
	intentServing intent = iota
	// intentListedLeaving members are leaving according to the host list.
	intentListedLeaving
	// intentLeaving members have announced that they are leaving.
	intentLeaving
	// intentStopped members have ended.
	intentStopped
)

// health is what other nodes report of a member. Within a version it only gets
// worse; the member refutes a report by raising the version.
type health uint8

const (
	healthOK health = iota
	// healthSuspect members did not answer a probe. Their status is not affected
	// yet.
	healthSuspect
	// healthUnreachable members did not answer within the suspicion timeout.
	healthUnreachable
	// healthGone members are unreachable and absent from the host list.
	healthGone
)

// record is the state of a member as nodes exchange it. Incarnation zero stands
// for a host that is listed and has never answered.
type record struct {
	Node        domain.NodeID      `cbor:"1,keyasint"`
	Incarnation domain.Incarnation `cbor:"2,keyasint,omitempty"`
	DataCentre  domain.DataCentre  `cbor:"3,keyasint"`
	Address     string             `cbor:"4,keyasint"`
	Version     uint64             `cbor:"5,keyasint,omitempty"`
	Intent      intent             `cbor:"6,keyasint,omitempty"`
	Health      health             `cbor:"7,keyasint,omitempty"`
}

// newRecord returns a record with healthOK.
func newRecord(m domain.Member, version uint64, in intent) record {
	return record{
		Node:        m.Node,
		Incarnation: m.Incarnation,
		DataCentre:  m.DataCentre,
		Address:     m.Address,
		Version:     version,
		Intent:      in,
	}
}

func (r record) member() domain.Member {
	return domain.Member{Node: r.Node, Incarnation: r.Incarnation, DataCentre: r.DataCentre, Address: r.Address}
}

// gone reports whether the incarnation has ended, by its own announcement or
// according to the host list.
func (r record) gone() bool { return r.Intent == intentStopped || r.Health == healthGone }

// sameVersion reports whether both records are of the same incarnation and
// version.
func (r record) sameVersion(o record) bool {
	return r.Node == o.Node && r.Incarnation == o.Incarnation && r.Version == o.Version
}

// supersedes reports whether r replaces o: a later incarnation, else a later
// version, else worse health.
func (r record) supersedes(o record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return r.Health > o.Health
}

// status returns the status shown in snapshots. Suspicion does not change it.
func (r record) status() Status {
	switch {
	case r.gone():
		return StatusGone
	case r.Health == healthUnreachable:
		return StatusUnreachable
	case r.Intent != intentServing:
		return StatusLeaving
	default:
		return StatusAlive
	}
}

// hash returns the record's part in the table hash. Members that are gone are
// left out, because nodes remove them at different times, and so is suspicion,
// which is temporary.
func (r record) hash() uint64 {
	if r.gone() {
		return 0
	}
	health := r.Health
	if health == healthSuspect {
		health = healthOK
	}
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, r.Node...)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(r.Incarnation))
	buffer = binary.LittleEndian.AppendUint64(buffer, r.Version)
	buffer = append(buffer, byte(r.Intent), byte(health))
	return xxhash.Sum64(buffer)
}
