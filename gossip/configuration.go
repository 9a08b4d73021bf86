package gossip

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// A node whose reports tell of an earlier configuration gets the later one, or what changed, with the reports of others,
// until it tells of that: at once from the node that follows the store for its data centre; elsewhere once it has had time
// to hear of it from the store, since then it may be cut off from that.

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

// handed is what a peer gets of the configuration.
type handed struct {
	steps    []cbor.RawMessage
	document []byte
}

// handing makes what peers get of one configuration, once for each version that they have.
type handing struct {
	handOn func(version uint64) ([]*routetable.Change, []byte)
	ready  map[uint64]handed
}

// to returns what a peer with the version gets: the shorter of the changes and the document, nothing if both are too long.
func (h *handing) to(version uint64) handed {
	if made, ok := h.ready[version]; ok {
		return made
	}
	made := handed{}
	changes, document := h.handOn(version)
	steps, size := encodeSteps(changes)
	switch {
	case len(steps) > 0 && size <= documentMost && (len(document) == 0 || size <= len(document)):
		made.steps = steps
	case len(document) <= documentMost:
		made.document = document
	}
	h.ready[version] = made
	return made
}

func encodeSteps(changes []*routetable.Change) (steps []cbor.RawMessage, size int) {
	for _, change := range changes {
		step, err := encoding.Marshal(change)
		if err != nil {
			return nil, 0 // Only types that can't be written fail; the document is left.
		}
		steps = append(steps, step)
		size += len(step)
	}
	return steps, size
}

// ConfigurationChanges decodes the report's steps.
func (r *Report) ConfigurationChanges() ([]*routetable.Change, error) {
	var changes []*routetable.Change
	for _, step := range r.Steps {
		change := new(routetable.Change)
		if err := cbor.Unmarshal(step, change); err != nil {
			return nil, fmt.Errorf("gossip: change of the configuration: %w", err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// lacksConfiguration reports whether this node is to tell the peer its configuration, which the report is of, and the
// version that the peer has.
func (m *Mesh) lacksConfiguration(id domain.NodeID, report *Report) (version uint64, lacks bool) {
	now := m.parts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil || p.silent {
		return 0, false
	}
	if p.version >= report.Version {
		p.behindSince = 0
		return 0, false
	}
	if p.behindSince == 0 {
		p.behindSince = now
	}
	if report.PassesOn && p.centre == m.parts.DataCentre {
		return p.version, true
	}
	patience := behindPatience + time.Duration(m.tellersBefore(report.Version))*behindTurn
	return p.version, now.Sub(p.behindSince) > patience
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
