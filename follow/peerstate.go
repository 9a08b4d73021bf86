package follow

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// PeerState is the state of the store as known to a peer.
type PeerState struct {
	// Version is the peer's configuration version. The peer knew it to be the newest at some time not before Confirmed, which
	// is zero if unknown.
	Version   uint64
	Confirmed boottime.Instant
	// NotForwarded is true if the peer is this node's forwarder but did not send the configuration of that version, so that it
	// must be read from the store.
	NotForwarded bool
	// Endpoints is the revision of the last endpoint change known to the peer. The peer knew its list to be complete at some time not
	// before EndpointsConfirmed, which is zero if unknown.
	Endpoints          Revision
	EndpointsConfirmed boottime.Instant
	// StoreRevision is the latest revision that the store has stated to any node, as far as the peer knows, zero if unknown.
	StoreRevision Revision
	// Store is what the peer knows of the store's availability.
	Store Availability
}

// peerProgress tracks changes that are known to peers but not to this node.
type peerProgress struct {
	mu      sync.Mutex
	pending [topics]pendingChange
}

// pendingChange is the first change of a topic, a version or a revision, that peers know and this node does not, and since
// when. It is zero if there is none.
type pendingChange struct {
	change uint64
	since  boottime.Instant
	// requestedAt is when the store was last queried for the change, zero if it was not.
	requestedAt boottime.Instant
}

// catchUpRetryInterval is the interval between queries for the same change: longer than the timeout of an unanswered call.
const catchUpRetryInterval = 1500 * time.Millisecond

// ObservePeer records the state reported by a peer. The same configuration version at the peer confirms this node's. If the
// peer knows a later change that this node's own watch does not return in time, the watch is cancelled and the store
// queried at once.
func (f *Follower) ObservePeer(state PeerState) {
	f.observeAvailability(state.Store)
	f.observeList(state)
	table := f.Table()
	if table == nil {
		return
	}
	if state.Version == table.Version && state.Confirmed > 0 {
		f.confirm(state.Confirmed)
	}
	f.catchUpIfBehind(Configuration, table.Version, state.Version, state.NotForwarded)
	known, _ := f.Revision(Endpoints)
	f.catchUpIfBehind(Endpoints, uint64(known), uint64(state.Endpoints), false)
}

// observeAvailability takes a peer's knowledge of the store's availability into account.
func (f *Follower) observeAvailability(known Availability) {
	if !f.store.recordPeer(known) {
		return
	}
	now := f.deps.Clock()
	available, until := f.store.state()
	if f.deps.Directory.LimitRetention(until) {
		f.deps.Log.Info().Dur("available_for_ms", now.Sub(available.Since)).Dur("retention_ms", max(until.Sub(now), 0)).
			Msg("store was available to other nodes, missing endpoints are retained for a shorter time")
	}
}

// StoreAvailability returns what this node and its peers know of the store's availability.
func (f *Follower) StoreAvailability() Availability {
	available, _ := f.store.state()
	return available
}

// StoreFails reports whether the node's calls for the configuration fail.
func (f *Follower) StoreFails() bool { return f.feeds[Configuration].failing.Load() }

// catchUpIfBehind queries the store if a change known to a peer has been unknown to this node for too long. Reports of peers
// that lack the change as well don't end the wait: when they did so after a second, less than the timeout in a fleet of 17
// nodes or more, a node whose neighbours were as far behind never queried the store. A later change does not restart the
// wait, nor does the wait continue for it once the first one has arrived.
//
// A change that is not forwarded is queried for at once, since reading it takes time.
func (f *Follower) catchUpIfBehind(topic Topic, known, reported uint64, notForwarded bool) {
	progress := &f.peerProgress
	now := f.deps.Clock()
	progress.mu.Lock()
	defer progress.mu.Unlock()
	pending := &progress.pending[topic]
	if known >= pending.change {
		*pending = pendingChange{}
	}
	if reported <= known {
		return
	}
	if pending.since == 0 {
		*pending = pendingChange{change: reported, since: now}
	}
	waited := now.Sub(pending.since)
	if !notForwarded && waited <= peerAheadTimeout+f.batchDelay() ||
		pending.requestedAt != 0 && now.Sub(pending.requestedAt) < catchUpRetryInterval {
		return
	}
	pending.requestedAt = now
	f.deps.Log.Warn().Stringer("topic", topic).Uint64("known", known).Uint64("told", reported).Bool("apart", notForwarded).
		Dur("waited_ms", waited).Msg("peer knows a later change, querying the store")
	f.feeds[topic].catchUp()
}

// Behind returns for how long peers have known a later configuration than the active one, zero if none does.
func (f *Follower) Behind(now boottime.Instant) time.Duration {
	progress := &f.peerProgress
	progress.mu.Lock()
	defer progress.mu.Unlock()
	pending := progress.pending[Configuration]
	if table := f.Table(); pending.since == 0 || table == nil || table.Version >= pending.change {
		return 0
	}
	return now.Sub(pending.since)
}
