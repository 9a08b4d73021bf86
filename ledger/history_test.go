package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/domain"
)

// lossModel tracks, for one key, every record that can have been committed and the
// members that hold it.
type lossModel struct {
	table       *Table
	key         KeyHash
	copies      []map[domain.Member]bool
	incarnation domain.Incarnation
}

func (m *lossModel) change(t reporter, change TableChange) {
	next, err := change(m.table)
	assert.NilError(t, err)
	m.table = next
	m.commitAll()
}

// commitAll commits a record for each possible holder of the second copy in this epoch.
func (m *lossModel) commitAll() {
	members := ranked(m.table.candidates(), m.key)
	for i, witness := range members {
		if i > 0 || len(members) == 1 {
			m.copies = append(m.copies, map[domain.Member]bool{members[0]: true, witness: true})
		}
	}
}

// settle stores each surviving record at its home and one more member.
func (m *lossModel) settle(t reporter) {
	next, err := Settle(m.table.Epoch)(m.table)
	assert.NilError(t, err)
	m.table = next
	for _, held := range m.copies {
		for i, member := range ranked(next.candidates(), m.key) {
			if len(held) > 0 && i < 2 {
				held[member] = true
			}
		}
	}
	m.commitAll()
}

// lose deletes an incarnation's records.
func (m *lossModel) lose(member domain.Member) {
	for _, held := range m.copies {
		delete(held, member)
	}
}

func (m *lossModel) lost() bool {
	for _, held := range m.copies {
		if len(held) == 0 {
			return true
		}
	}
	return false
}

// TestUncertainExactlyWhenARecordCanBeLost compares history.uncertain with a model of
// which member holds which record, over random changes of a table.
func TestUncertainExactlyWhenARecordCanBeLost(t *testing.T) {
	setDefaultFlag(t, "rapid.seed", fmt.Sprint(scheduleSeed))
	setDefaultFlag(t, "rapid.checks", "300")
	setDefaultFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(rt *rapid.T) {
		m := &lossModel{table: &Table{DataCentre: testDataCentre}, key: hashKey(key(rapid.IntRange(0, 9).Draw(rt, "key")))}
		rt.Repeat(map[string]func(*rapid.T){
			"join": func(rt *rapid.T) {
				m.incarnation++
				id := nodeName(rapid.IntRange(0, 3).Draw(rt, "node"))
				if i := m.table.find(id); i >= 0 {
					m.lose(m.table.Members[i].Member)
				}
				m.change(rt, Join(domain.Member{Node: id, Incarnation: m.incarnation, DataCentre: testDataCentre}))
			},
			"leave": func(rt *rapid.T) { m.withRandomMember(rt, func(x domain.Member) { m.change(rt, Leave(x)) }) },
			"remove": func(rt *rapid.T) {
				m.withRandomMember(rt, func(x domain.Member) { m.lose(x); m.change(rt, Remove(x)) })
			},
			"settle": func(rt *rapid.T) { m.settle(rt) },
			"": func(rt *rapid.T) {
				h := newHistory(m.table)
				fresh := func(Departure) time.Duration { return 0 }
				if got := h.uncertain(m.key, time.Hour, fresh); got != m.lost() {
					rt.Fatalf("uncertain %v, lost %v, table %+v", got, m.lost(), m.table)
				}
			},
		})
	})
}

func (m *lossModel) withRandomMember(rt *rapid.T, f func(domain.Member)) {
	if len(m.table.Members) > 0 {
		f(rapid.SampledFrom(m.table.Members).Draw(rt, "member").Member)
	}
}
