package gossip

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// A node whose reports tell of an earlier configuration gets the later one with the reports of others, until it tells of
// that: at once from the node that follows the store for its data centre; elsewhere once it has had time to hear of it
// from the store, since then it may be cut off from that.

const (
	// behindPatience is how long a peer may be behind before it is told, if it is not relied on to be told: longer than the
	// 0.8 s for which a node collects changes before it asks the store again.
	behindPatience = 1200 * time.Millisecond
	// behindTurn is how much later each further node begins to tell it: one report to another data centre, so that few do.
	behindTurn = farMost
	// documentMost bounds what is told in a datagram of 64 KB beside the rest of a report; a larger one is left to the
	// store, which nodes ask once they hear that a peer has a later configuration.
	documentMost = 32 << 10
)

// lacksConfiguration reports whether this node is to tell the peer its configuration, which the report is of.
func (m *Mesh) lacksConfiguration(id domain.NodeID, report *Report) bool {
	now := m.parts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil || p.silent {
		return false
	}
	if p.version >= report.Version {
		p.behindSince = 0
		return false
	}
	if p.behindSince == 0 {
		p.behindSince = now
	}
	if report.PassesOn && p.centre == m.parts.DataCentre {
		return true
	}
	patience := behindPatience + time.Duration(m.tellersBefore(report.Version))*behindTurn
	return now.Sub(p.behindSince) > patience
}

// tellersBefore counts the nodes that tell a version before this one does: those with a lower name. The lock is held.
func (m *Mesh) tellersBefore(version uint64) int {
	before := 0
	for id, p := range m.peers {
		if !p.silent && p.version >= version && id < m.parts.Self {
			before++
		}
	}
	return before
}
