package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// intent is what a life says of itself. Only the life itself changes it, and each
// change raises the record's version.
type intent uint8

const (
	// intentServing lives take work.
	intentServing intent = iota
	// intentListedLeaving lives were told by the host list that they leave.
	intentListedLeaving
	// intentLeaving lives have said that they leave.
	intentLeaving
	// intentFarewell lives have ended.
	intentFarewell
)

// health is what others say of a life. Within a version it only gets worse; the
// life itself refutes by raising the version.
type health uint8

const (
	healthOK health = iota
	// healthSuspect lives did not answer; it is not yet held against them.
	healthSuspect
	// healthUnreachable lives did not answer in time.
	healthUnreachable
	// healthGone lives are unreachable and off the host list.
	healthGone
)

// record is what nodes tell each other of a life. A record with incarnation zero
// is of a host that is listed and has never answered.
type record struct {
	Node        domain.NodeID      `cbor:"1,keyasint"`
	Incarnation domain.Incarnation `cbor:"2,keyasint,omitempty"`
	DataCentre  domain.DataCentre  `cbor:"3,keyasint"`
	Address     string             `cbor:"4,keyasint"`
	Version     uint64             `cbor:"5,keyasint,omitempty"`
	Intent      intent             `cbor:"6,keyasint,omitempty"`
	Health      health             `cbor:"7,keyasint,omitempty"`
}

// newRecord returns a healthy record of a life.
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

// member returns the life that the record is of.
func (r record) member() domain.Member {
	return domain.Member{Node: r.Node, Incarnation: r.Incarnation, DataCentre: r.DataCentre, Address: r.Address}
}

// gone reports whether the life has ended, by its own word or the list's.
func (r record) gone() bool { return r.Intent == intentFarewell || r.Health == healthGone }

// sameVersion reports whether both are statements about the same version of the
// same life.
func (r record) sameVersion(o record) bool {
	return r.Node == o.Node && r.Incarnation == o.Incarnation && r.Version == o.Version
}

// supersedes reports whether r is later knowledge than o: a later life, else a
// later version of the life, else worse health.
func (r record) supersedes(o record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return r.Health > o.Health
}

// status returns what the record means to the users of a snapshot. A suspect
// counts as it did before.
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

// hash sums up the record for comparing tables. Lives that are gone do not count,
// so that they can be forgotten at different times, nor does suspicion, which
// passes by itself.
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
