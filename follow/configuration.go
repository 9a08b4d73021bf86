package follow

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// configuration is a configuration table with the document from which it previous decoded, if known.
type configuration struct {
	table *routetable.Table
	// document is nil if the table results from changes received from a peer.
	document []byte
}

// fromStore is logged as the origin of a configuration that previous read from the store.
const fromStore = "store"

// ApplyConfiguration activates a configuration received from a peer unless the active one is as late. One that can't be
// decoded is logged once; the node then waits for the configuration from the store.
func (f *Follower) ApplyConfiguration(peer domain.NodeID, version uint64, document []byte) {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
	if len(document) == 0 || version == f.unreadableVersion || !f.isLater(version) {
		return
	}
	table, err := f.deps.Source.Table(document)
	if err != nil {
		f.unreadableVersion = version
		f.rejected.Inc()
		f.deps.Log.Error().Err(err).Str("peer", string(peer)).Uint64("version", version).
			Msg("failed to decode configuration received from peer")
		return
	}
	f.activate(&configuration{table, document}, string(peer))
}

// ApplyConfigurationChanges applies changes received from a peer to the active configuration. Changes that can't be applied
// are ignored; the node then waits for the configuration from the store.
func (f *Follower) ApplyConfigurationChanges(peer domain.NodeID, changes []*routetable.Change) {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
	for _, change := range changes {
		table := f.Table()
		if table == nil || change.From != table.Version || change.To == f.unreadableVersion {
			continue
		}
		next, err := table.Apply(change)
		if err != nil {
			f.unreadableVersion = change.To
			f.rejected.Inc()
			f.deps.Log.Error().Err(err).Str("peer", string(peer)).Msg("failed to apply configuration change received from peer")
			return
		}
		f.activate(&configuration{table: next}, string(peer))
	}
}

// activateFromStore activates the configuration contained in a change from the store, if there is a later one.
func (f *Follower) activateFromStore(change Change) {
	if change.Table == nil {
		return
	}
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
	f.activate(&configuration{change.Table, change.Document}, fromStore)
}

// activate activates a configuration unless the active one is as late. The lock is held.
func (f *Follower) activate(c *configuration, from string) {
	previous := f.current.Load()
	if !f.isLater(c.table.Version) {
		if c.document != nil && previous.document == nil && previous.table.Version == c.table.Version {
			f.current.Store(&configuration{previous.table, c.document})
		}
		return
	}
	f.deps.OnConfiguration(c.table)
	f.current.Store(c)
	if previous != nil {
		f.recentChanges.add(f.deps.Clock(), previous.table, c.table)
	}
	f.deps.Log.Info().Uint64("version", c.table.Version).Str("from", from).Int("routes", c.table.RouteCount()).
		Int("organisations", len(c.table.Organisations)).Msg("configuration activated")
}

// isLater reports whether a version is later than the active one.
func (f *Follower) isLater(version uint64) bool {
	table := f.Table()
	return table == nil || version > table.Version
}
