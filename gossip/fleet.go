package gossip

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Fleet counts the nodes: those that may be alive, this one included, those heard from lately, and both for this data
// centre.
type Fleet struct {
	Known int
	Heard int
	Near  int
}

// Members returns the nodes that may be alive, whatever their lives, silent ones and this one included, in no order.
func (m *Mesh) Members() []domain.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]domain.Member, 0, len(m.peers)+1)
	members = append(members, domain.Member{Node: m.parts.Self, DataCentre: m.parts.DataCentre})
	for id, p := range m.peers {
		members = append(members, domain.Member{Node: id, DataCentre: p.centre, Address: p.address})
	}
	return members
}

// Fleet returns the present counts.
func (m *Mesh) Fleet() Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := Fleet{Known: 1, Heard: 1, Near: 1}
	for _, p := range m.peers {
		fleet.Known++
		if !p.silent {
			fleet.Heard++
		}
		if p.centre == m.parts.DataCentre {
			fleet.Near++
		}
	}
	return fleet
}

// Confirms reports whether this node is one of those of its data centre that confirm the configuration for the others:
// the first by name of those that are heard and stay.
func (m *Mesh) Confirms() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := 0
	for id, p := range m.peers {
		if p.centre == m.parts.DataCentre && !p.silent && !p.leaving && id < m.parts.Self {
			before++
		}
	}
	return before < confirmers
}

const (
	// passOnFrom is the number of nodes of a data centre from which on one follows the endpoints for the others. With fewer
	// there is little to save.
	passOnFrom = 8
	// passOnFresh is how old the last report of that one may be: five of its reports in a data centre of some 20 nodes, and
	// passOnMissed pauses between them in one that is so large that they are further apart.
	passOnFresh  = 600 * time.Millisecond
	passOnMissed = 2
)

// ForwardsChanges reports whether this node is to pass changes of the endpoints on to the others of its data centre.
func (m *Mesh) ForwardsChanges() bool { return m.Fleet().Near >= passOnFrom && m.Confirms() }

// HasForwarder reports whether a node of the data centre passes changes of the endpoints on to this one.
func (m *Mesh) HasForwarder() bool {
	if m.ForwardsChanges() {
		return false
	}
	now := m.parts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		fresh := now.Sub(p.heardAt) <= max(passOnFresh, passOnMissed*p.every)
		if p.passesOn && p.centre == m.parts.DataCentre && !p.silent && !p.leaving && fresh {
			return true
		}
	}
	return false
}
