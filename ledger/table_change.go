package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// ErrSuperseded means that a later incarnation of the node is or was in the table.
var ErrSuperseded = errors.New("ledger: a later incarnation of the node has joined")

// TableChange is a change of a table. It returns the table itself if there is
// nothing to change, and does not write to it.
type TableChange func(*Table) (*Table, error)

// Join adds an incarnation without records. An earlier incarnation of the node departs.
func Join(member domain.Member) TableChange {
	return func(t *Table) (*Table, error) {
		if t.DataCentre != member.DataCentre {
			return nil, fmt.Errorf("ledger: %s of data centre %s can't join the table of %s", member, member.DataCentre, t.DataCentre)
		}
		if t.Contains(member) {
			return t, nil
		}
		if t.supersedes(member) {
			return nil, fmt.Errorf("%w: %s", ErrSuperseded, member)
		}
		next := t.nextEpoch()
		next.depart(member.Node)
		next.Members = append(next.Members, TableMember{Member: member, Joined: next.Epoch})
		slices.SortFunc(next.Members, func(a, b TableMember) int { return cmp.Compare(a.Member.Node, b.Member.Node) })
		return next, nil
	}
}

// Leave makes an incarnation neither home nor witness any more, so that the others
// collect its records. Once the table is settled it may be removed without loss.
func Leave(member domain.Member) TableChange {
	return func(t *Table) (*Table, error) {
		i := t.find(member.Node)
		if i < 0 || !t.Members[i].Member.SameIncarnation(member) || t.Members[i].Leaving != 0 {
			return t, nil
		}
		next := t.nextEpoch()
		next.Members[i].Leaving = next.Epoch
		return next, nil
	}
}

// Remove takes an incarnation out of the table. Its records count as lost unless the
// table has been settled since the incarnation started to leave.
func Remove(member domain.Member) TableChange {
	return func(t *Table) (*Table, error) {
		if !t.Contains(member) {
			return t, nil
		}
		next := t.nextEpoch()
		next.depart(member.Node)
		return next, nil
	}
}

// Settle records that in this epoch two members hold every record. It changes nothing
// if the epoch has passed or has no eligible member.
func Settle(epoch uint64) TableChange {
	return func(t *Table) (*Table, error) {
		if t.Epoch != epoch || t.Settled() >= epoch || len(t.EligibleMembers()) == 0 {
			return t, nil
		}
		next := t.clone()
		next.Revision++
		next.Settlements = append(next.Settlements, epoch)
		return next, nil
	}
}

// PruneDepartures drops departures that are older than keep, once the table has been
// settled after them, and the settlements that only concern them.
func PruneDepartures(keep time.Duration) TableChange {
	return func(t *Table) (*Table, error) {
		settled := t.Settled()
		old := func(d Departure) bool { return d.Age > keep && settled >= d.Removed }
		if !slices.ContainsFunc(t.Departed, old) {
			return t, nil
		}
		next := t.clone()
		next.Revision++
		for _, d := range t.Departed {
			if old(d) {
				next.Horizon = max(next.Horizon, d.Removed)
			}
		}
		next.Departed = slices.DeleteFunc(next.Departed, old)
		next.Settlements = next.neededSettlements()
		return next, nil
	}
}

// nextEpoch returns a copy with the next revision and epoch.
func (t *Table) nextEpoch() *Table {
	next := t.clone()
	next.Revision++
	next.Epoch++
	return next
}

// depart moves the node's incarnation, if any, from the members to the departed. The
// table's epoch is already the first one without it.
func (t *Table) depart(node domain.NodeID) {
	i := t.find(node)
	if i < 0 {
		return
	}
	m := t.Members[i]
	handedOver := m.Leaving != 0 && t.Settled() >= m.Leaving
	t.Members = slices.Delete(t.Members, i, i+1)
	t.Departed = append(t.Departed, Departure{TableMember: m, Removed: t.Epoch, Lost: !handedOver})
}

// supersedes reports whether a later incarnation of the member's node is known.
func (t *Table) supersedes(member domain.Member) bool {
	later := func(m domain.Member) bool { return m.Node == member.Node && m.Incarnation > member.Incarnation }
	return slices.ContainsFunc(t.Members, func(m TableMember) bool { return later(m.Member) }) ||
		slices.ContainsFunc(t.Departed, func(d Departure) bool { return later(d.TableMember.Member) })
}

// neededSettlements returns the settlements that concern departures still kept,
// and the last one.
func (t *Table) neededSettlements() []uint64 {
	for len(t.Settlements) > 1 && t.Settlements[1] <= t.Horizon {
		t.Settlements = t.Settlements[1:]
	}
	return t.Settlements
}
