package ledger

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// Table is the agreed list of the lives that decide about a data centre's keys.
// It changes with hosts, never with requests. A Table is immutable: the changes
// in table_change.go return a new one.
type Table struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint" json:"data_centre"`
	// Revision grows with every change.
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	// Epoch grows with every change of the members. Claims and commits name it.
	Epoch uint64 `cbor:"3,keyasint" json:"epoch"`
	// Members are sorted by node; each node has one life at most.
	Members []TableMember `cbor:"4,keyasint" json:"members"`
	// Departed are the lives that went within the window in which their going
	// matters, the earliest first.
	Departed []Departure `cbor:"5,keyasint,omitempty" json:"departed,omitempty"`
	// Settlements are the epochs, ascending, in which every record known was held
	// by two eligible members; those before the first departure kept are dropped,
	// but for the last.
	Settlements []uint64 `cbor:"6,keyasint,omitempty" json:"settlements,omitempty"`
	// Horizon is the first epoch whose members can be told from Members and Departed.
	Horizon uint64 `cbor:"7,keyasint,omitempty" json:"horizon,omitempty"`
}

// TableMember is a life in the table.
type TableMember struct {
	Member domain.Member `cbor:"1,keyasint" json:"member"`
	// Joined is the epoch in which the life came with an empty memory.
	Joined uint64 `cbor:"2,keyasint" json:"joined"`
	// Leaving is the epoch in which the life stopped taking records, or zero. Until
	// it is removed others still collect from it.
	Leaving uint64 `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
}

// eligible reports whether the life was home or witness in the epoch.
func (m TableMember) eligible(epoch uint64) bool {
	return m.Joined <= epoch && (m.Leaving == 0 || epoch < m.Leaving)
}

// find returns the index of the node's life, or -1.
func (t *Table) find(node domain.NodeID) int {
	return slices.IndexFunc(t.Members, func(m TableMember) bool { return m.Member.Node == node })
}

// life returns the table's entry of this very life.
func (t *Table) life(member domain.Member) (TableMember, bool) {
	i := t.find(member.Node)
	if i < 0 || !t.Members[i].Member.SameIncarnation(member) {
		return TableMember{}, false
	}
	return t.Members[i], true
}

// Contains reports whether this very life is in the table, leaving or not.
func (t *Table) Contains(member domain.Member) bool {
	_, ok := t.life(member)
	return ok
}

// Eligible reports whether this very life may be home or witness.
func (t *Table) Eligible(member domain.Member) bool {
	m, ok := t.life(member)
	return ok && m.eligible(t.Epoch)
}

// EligibleMembers returns the lives that may be home or witness.
func (t *Table) EligibleMembers() []domain.Member {
	var members []domain.Member
	for _, m := range t.Members {
		if m.eligible(t.Epoch) {
			members = append(members, m.Member)
		}
	}
	return members
}

// Settled returns the last epoch in which every record was held twice, or zero.
func (t *Table) Settled() uint64 {
	if len(t.Settlements) == 0 {
		return 0
	}
	return t.Settlements[len(t.Settlements)-1]
}

// clone returns a copy that may be changed.
func (t *Table) clone() *Table {
	c := *t
	c.Members = slices.Clone(t.Members)
	c.Departed = slices.Clone(t.Departed)
	c.Settlements = slices.Clone(t.Settlements)
	return &c
}
