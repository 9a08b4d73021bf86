package gossip

import (
	"slices"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Fleet holds node counts. Known counts the nodes that may be alive, this one included, Heard those with a current report,
// and Near the known nodes of this data centre.
type Fleet struct {
	Known int
	Heard int
	Near  int
}

// Members returns the nodes that may be alive, regardless of process restarts, silent nodes and this one included, in no
// particular order.
func (m *Mesh) Members() []domain.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]domain.Member, 0, len(m.peers)+1)
	members = append(members, domain.Member{Node: m.deps.Self, DataCentre: m.deps.DataCentre})
	for id, p := range m.peers {
		members = append(members, domain.Member{Node: id, DataCentre: p.dataCentre, Address: p.address})
	}
	return members
}

// Heard returns the nodes that are neither silent nor leaving, with the incarnations and addresses of their last reports, in the
// order of their names. This node is one of them, without an address.
func (m *Mesh) Heard() []domain.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := []domain.Member{{Node: m.deps.Self, Incarnation: domain.Incarnation(m.deps.Incarnation), DataCentre: m.deps.DataCentre}}
	for id, p := range m.peers {
		if !p.silent && !p.leaving {
			heard = append(heard, domain.Member{
				Node: id, Incarnation: domain.Incarnation(p.incarnation), DataCentre: p.dataCentre, Address: p.address,
			})
		}
	}
	slices.SortFunc(heard, func(a, b domain.Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return heard
}

// Others returns the nodes that may be alive and that Heard doesn't return: those that are silent or leaving.
func (m *Mesh) Others() []domain.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []domain.Member
	for id, p := range m.peers {
		if p.silent || p.leaving {
			others = append(others, domain.Member{Node: id, DataCentre: p.dataCentre, Address: p.address})
		}
	}
	return others
}

// AllHeard reports whether all nodes that may be alive are heard.
func (m *Mesh) AllHeard() bool {
	f := m.Fleet()
	return f.Heard == f.Known
}

// Fleet returns the current node counts.
func (m *Mesh) Fleet() Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := Fleet{Known: 1, Heard: 1, Near: 1}
	for _, p := range m.peers {
		fleet.Known++
		if !p.silent {
			fleet.Heard++
		}
		if p.dataCentre == m.deps.DataCentre {
			fleet.Near++
		}
	}
	return fleet
}

// Confirms reports whether this node is one of those of its data centre that confirm the configuration for the others:
// the first by name among the nodes that are neither silent nor leaving and whose calls to the store succeed.
func (m *Mesh) Confirms() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := 0
	for id, p := range m.peers {
		if p.dataCentre == m.deps.DataCentre && !p.silent && !p.leaving && !p.storeFails && id < m.deps.Self {
			before++
		}
	}
	return before < confirmersPerDataCentre
}

const (
	// minForwardingNodes is the size of a data centre from which one node forwards endpoint changes to the others. In a
	// smaller one this saves few store calls.
	minForwardingNodes = 8
	// forwarderTimeout is the maximum age of the forwarder's last report: five report intervals in a data centre of some 20
	// nodes. Where the intervals are longer, forwarderTimeoutIntervals of them apply instead.
	forwarderTimeout          = 600 * time.Millisecond
	forwarderTimeoutIntervals = 2
)

// ForwardsChanges reports whether this node must forward endpoint changes to the others of its data centre.
func (m *Mesh) ForwardsChanges() bool { return m.Fleet().Near >= minForwardingNodes && m.Confirms() }

// HasForwarder reports whether another node of the data centre forwards endpoint changes to this one.
func (m *Mesh) HasForwarder() bool {
	if m.ForwardsChanges() {
		return false
	}
	now := m.deps.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		fresh := now.Sub(p.lastReportAt) <= max(forwarderTimeout, forwarderTimeoutIntervals*p.interval)
		if p.forwardsChanges && p.dataCentre == m.deps.DataCentre && !p.silent && !p.leaving && fresh {
			return true
		}
	}
	return false
}
