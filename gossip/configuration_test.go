package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// givenBy returns how often each node has told the member a configuration.
func (m *member) givenBy() map[domain.NodeID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	given := m.given
	m.given = make(map[domain.NodeID]int)
	return given
}

func TestNodeThatPassesOnTellsItsDataCentreOfAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(t, newNetwork(), 2*passOnFrom, 2)
		time.Sleep(2 * time.Second)
		members[0].version.Store(7)
		members[1].version.Store(7)
		time.Sleep(500 * time.Millisecond)
		for i, m := range members[2:] {
			assert.Equal(t, m.version.Load(), uint64(7))
			given := m.givenBy()
			assert.Equal(t, len(given), 1, "told by others than the node that passes on: %v", given)
			assert.Assert(t, given[members[i%2].parts.Self] <= 3, "told until its own report said that it knows: %v", given)
		}
		time.Sleep(5 * time.Second)
		for _, m := range members {
			assert.Equal(t, len(m.givenBy()), 0, "told once more")
		}
	})
}

func TestNodeThatStaysBehindIsToldByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(t, newNetwork(), 7, 3)
		time.Sleep(2 * time.Second)
		for _, m := range members[1:] {
			m.version.Store(7)
		}
		time.Sleep(behindPatience - 100*time.Millisecond)
		assert.Equal(t, members[0].version.Load(), uint64(0), "the store may tell it still")
		time.Sleep(time.Second)
		assert.Equal(t, members[0].version.Load(), uint64(7))
		given := members[0].givenBy()
		assert.Assert(t, len(given) <= 2, "few tell it: %v", given)
	})
}

func TestNextNodeTellsWhereTheFirstCantReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		members := fleet(t, net, 7, 3)
		time.Sleep(2 * time.Second)
		net.setCut("n001", "n000", true)
		net.setCut("n002", "n000", true)
		for _, m := range members[1:] {
			m.version.Store(7)
		}
		time.Sleep(behindPatience + 3*behindTurn + time.Second)
		assert.Equal(t, members[0].version.Load(), uint64(7))
	})
}

func TestLargeConfigurationIsLeftToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(t, newNetwork(), 3, 1)
		time.Sleep(time.Second)
		members[0].documentBytes.Store(documentMost + 1)
		members[0].version.Store(7)
		time.Sleep(5 * time.Second)
		assert.Equal(t, members[1].version.Load(), uint64(0))
	})
}

// Pattern: a key is taken away while the configuration has two thousand routes.
func TestSmallChangeOfALargeConfigurationIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(t, newNetwork(), 3, 1)
		time.Sleep(time.Second)
		members[0].documentBytes.Store(700_000)
		members[0].changes.Store(&changes{[]*routetable.Change{{From: 6, To: 7, RemovedOrganisations: []domain.OrganisationID{"o"}}}})
		members[0].version.Store(7)
		time.Sleep(behindPatience + time.Second)
		assert.Equal(t, members[1].version.Load(), uint64(7))
	})
}

func TestChangesAreReadAsTheyWereWritten(t *testing.T) {
	sent := []*routetable.Change{
		{From: 6, To: 7, Digest: 1 << 63, Routes: []routetable.Route{{Name: "r", Splits: []routetable.Split{{Service: "s", Weight: 1}}}}},
		{From: 7, To: 8, Organisations: []routetable.Organisation{{ID: "o", Keys: []string{"k"}, Rate: 0.5}}},
	}
	steps, _ := encodeSteps(sent)
	read, err := (&Report{Steps: steps}).ConfigurationChanges()
	assert.NilError(t, err)
	assert.DeepEqual(t, read, sent)
	_, err = (&Report{Steps: append(steps, []byte("\x01"))}).ConfigurationChanges()
	assert.Assert(t, err != nil)
}
