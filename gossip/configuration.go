package gossip

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// A peer whose reports carry an earlier configuration version is sent the current configuration, or the changes since its
// version, in regular reports until it reports the new version. The forwarder of its data centre sends it at once. Other
// nodes first leave it time to read the configuration from the store; after that it may be cut off from the store.

const (
	// configurationSendDelay is how long a peer may be behind before nodes other than its forwarder send it the
	// configuration: longer than the 0.8 s for which a node batches changes before it queries the store again.
	configurationSendDelay = 1200 * time.Millisecond
	// configurationSendStagger is the additional delay of each further sender: one report interval between data centres,
	// so that few nodes send the same configuration.
	configurationSendStagger = maxRemoteInterval
	// maxDocumentBytes bounds the configuration data in a report, which shares a 64 KB datagram with the rest of the report.
	// Nodes read a larger configuration from the store, which they query once a peer reports a later version.
	maxDocumentBytes = 32 << 10
)

// configurationUpdate is the configuration data sent to a peer.
type configurationUpdate struct {
	steps    []cbor.RawMessage
	document []byte
}

// configurationUpdates builds the updates to one configuration and caches them by the version that the peers have.
type configurationUpdates struct {
	configurationSince func(version uint64) ([]*routetable.Change, []byte)
	cache              map[uint64]configurationUpdate
}

// forVersion returns the update for a peer with the version: the shorter of the changes and the document, or nothing if
// both are too large.
func (u *configurationUpdates) forVersion(version uint64) configurationUpdate {
	if update, ok := u.cache[version]; ok {
		return update
	}
	update := configurationUpdate{}
	changes, document := u.configurationSince(version)
	steps, size := encodeSteps(changes)
	switch {
	case len(steps) > 0 && size <= maxDocumentBytes && (len(document) == 0 || size <= len(document)):
		update.steps = steps
	case len(document) <= maxDocumentBytes:
		update.document = document
	}
	u.cache[version] = update
	return update
}

func encodeSteps(changes []*routetable.Change) (steps []cbor.RawMessage, size int) {
	for _, change := range changes {
		step, err := encMode.Marshal(change)
		if err != nil {
			return nil, 0 // Marshal fails only for unsupported types; the document can still be sent.
		}
		steps = append(steps, step)
		size += len(step)
	}
	return steps, size
}

// ConfigurationChanges decodes the configuration changes in Steps.
func (r *Report) ConfigurationChanges() ([]*routetable.Change, error) {
	var changes []*routetable.Change
	for _, step := range r.Steps {
		change := new(routetable.Change)
		if err := cbor.Unmarshal(step, change); err != nil {
			return nil, fmt.Errorf("gossip: decode configuration change: %w", err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// lacksConfiguration reports whether this node must send the peer the configuration of the report, and returns the version
// that the peer has.
func (m *Mesh) lacksConfiguration(id domain.NodeID, report *Report) (version uint64, lacks bool) {
	now := m.deps.Clock()
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
	if report.PassesOn && p.dataCentre == m.deps.DataCentre {
		return p.version, true
	}
	delay := configurationSendDelay + time.Duration(m.sendersBefore(report.Version))*configurationSendStagger
	return p.version, now.Sub(p.behindSince) > delay
}

// sendersBefore counts the nodes with a lower name that have the version and therefore send it before this node does. The
// lock is held.
func (m *Mesh) sendersBefore(version uint64) int {
	count := 0
	for id, p := range m.peers {
		if !p.silent && p.version >= version && id < m.deps.Self {
			count++
		}
	}
	return count
}
