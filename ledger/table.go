package ledger

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// Table is the shared list of the incarnations that decide about a data centre's keys.
// It changes with hosts, never with requests. A Table is immutable: the changes in
// table_change.go return a new one.
type Table struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint" json:"data_centre"`
	// Revision grows with every change.
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	// Epoch grows with every change of the members. Claims and commits carry it.
	Epoch uint64 `cbor:"3,keyasint" json:"epoch"`
	// Members are sorted by node; each node has at most one incarnation.
	Members []TableMember `cbor:"4,keyasint" json:"members"`
	// Departed are the incarnations removed within the window in which their removal
	// matters, the earliest first.
	Departed []Departure `cbor:"5,keyasint,omitempty" json:"departed,omitempty"`
	// Settlements are the epochs, ascending, in which every known record was held by
	// two eligible members; those before the first departure kept are dropped, except
	// for the last.
	Settlements []uint64 `cbor:"6,keyasint,omitempty" json:"settlements,omitempty"`
	// Horizon is the first epoch whose members can be derived from Members and
	// Departed.
	Horizon uint64 `cbor:"7,keyasint,omitempty" json:"horizon,omitempty"`
}

// TableMember is an incarnation in the table.
type TableMember struct {
	Member domain.Member `cbor:"1,keyasint" json:"member"`
	// Joined is the epoch in which the incarnation joined, without records.
	Joined uint64 `cbor:"2,keyasint" json:"joined"`
	// Leaving is the epoch in which the incarnation stopped accepting records, or zero.
	// Until it is removed the others still collect from it.
	Leaving uint64 `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
}

// eligible reports whether the incarnation could be home or witness in the epoch.
func (m TableMember) eligible(epoch uint64) bool {
	return m.Joined <= epoch && (m.Leaving == 0 || epoch < m.Leaving)
}

// find returns the index of the node's incarnation, or -1.
func (t *Table) find(node domain.NodeID) int {
	return slices.IndexFunc(t.Members, func(m TableMember) bool { return m.Member.Node == node })
}

// entryOf returns the table's entry of exactly this incarnation.
func (t *Table) entryOf(member domain.Member) (TableMember, bool) {
	i := t.find(member.Node)
	if i < 0 || !t.Members[i].Member.SameIncarnation(member) {
		return TableMember{}, false
	}
	return t.Members[i], true
}

// Contains reports whether exactly this incarnation is in the table, leaving or not.
func (t *Table) Contains(member domain.Member) bool {
	_, ok := t.entryOf(member)
	return ok
}

// Eligible reports whether exactly this incarnation may be home or witness.
func (t *Table) Eligible(member domain.Member) bool {
	m, ok := t.entryOf(member)
	return ok && m.eligible(t.Epoch)
}

// EligibleMembers returns the incarnations that may be home or witness.
func (t *Table) EligibleMembers() []domain.Member {
	var members []domain.Member
	for _, m := range t.Members {
		if m.eligible(t.Epoch) {
			members = append(members, m.Member)
		}
	}
	return members
}

// Settled returns the last epoch in which two members held every record, or zero.
func (t *Table) Settled() uint64 {
	if len(t.Settlements) == 0 {
		return 0
	}
	return t.Settlements[len(t.Settlements)-1]
}

// clone returns a copy that the caller may change.
func (t *Table) clone() *Table {
	c := *t
	c.Members = slices.Clone(t.Members)
	c.Departed = slices.Clone(t.Departed)
	c.Settlements = slices.Clone(t.Settlements)
	return &c
}
