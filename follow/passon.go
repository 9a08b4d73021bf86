package follow

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/pacing"
)

// In a large data centre one node follows the store and tells the others of each change, since a watch at each node makes
// as many calls a change as there are nodes. The others go on with the store as soon as that node falls silent, loses the
// store, or tells of something that does not follow on what they know, and ask it once its word of the configuration is
// too old (look).

const (
	// passOnFor is for how long a change is told: some twenty reports within a data centre, of which some may be lost.
	passOnFor = 2 * time.Second
	// passOnMost bounds the endpoints of a change that is told; a larger one is left to the store, since a report that
	// does not fit into a few packets is often lost.
	passOnMost = 40
	// passOnPause lets changes that come together be read by one call, where few nodes make it.
	passOnPause = 200 * time.Millisecond
)

// toldChange is a change that is told to peers.
type toldChange struct {
	change directory.Change
	at     boottime.Instant
	// keepUntil is until when removed endpoints are kept.
	keepUntil boottime.Instant
}

// keepToPassOn keeps a change for the peers. The feed's lock is held.
func (d *feed) keepToPassOn(change Change) {
	now := d.follower.parts.Clock()
	d.forgetTold(now)
	told := directory.Change{
		After: uint64(d.since), Last: uint64(change.Last), Revision: uint64(change.Revision),
		Listed: change.Endpoints, Removed: change.Removed, Unusable: change.Unusable,
	}
	d.since = change.Last
	if len(told.Listed)+len(told.Removed)+len(told.Unusable) <= passOnMost {
		d.told = append(d.told, toldChange{told, now, d.keepUntil()})
	}
}

// forgetTold drops what the peers must have heard. The feed's lock is held.
func (d *feed) forgetTold(now boottime.Instant) {
	for len(d.told) > 0 && now.Sub(d.told[0].at) > passOnFor {
		d.told = d.told[1:]
	}
}

// EndpointChanges returns the latest changes of the endpoints for the peers of the data centre, and whether they may rely on this
// node for them and for the configuration: it follows the store by itself and is in touch with it.
func (f *Follower) EndpointChanges() (changes []directory.Change, reliable bool) {
	if !f.parts.ForwardsChanges() || !f.feeds[Configuration].inTouch() || !f.feeds[Endpoints].inTouch() {
		return nil, false
	}
	d := f.feeds[Endpoints]
	now := f.parts.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetTold(now)
	for _, p := range d.told {
		change := p.change
		change.KeepFor = max(p.keepUntil.Sub(now), 0)
		changes = append(changes, change)
	}
	return changes, d.whole
}

// ApplyEndpointChanges brings in changes of the endpoints that a peer of the data centre tells of. Where they don't follow on what
// this node knows, the store is asked.
func (f *Follower) ApplyEndpointChanges(changes []directory.Change) {
	d := f.feeds[Endpoints]
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		known := d.revision.Load()
		switch {
		case !d.whole:
			return
		case c.Last <= known:
		case c.After > known:
			f.parts.Log.Info().Uint64("known", known).Uint64("after", c.After).Msg("a passed-on change is missing, asking the store")
			d.hurry()
			return
		default:
			d.takePassedOn(c)
		}
	}
}

// takePassedOn brings one change in. The feed's lock is held.
func (d *feed) takePassedOn(c directory.Change) {
	f := d.follower
	now := f.parts.Clock()
	f.parts.Directory.Drop(c.Unusable)
	f.parts.Directory.Apply(now, c.Listed, c.Removed, now.Add(c.KeepFor))
	change := Change{Revision: Revision(c.Revision), Last: Revision(c.Last), Endpoints: c.Listed, Removed: c.Removed}
	f.logEndpoints(change)
	d.note(change, 0)
	// What this node may pass on later begins here.
	d.since = change.Last
}

// inTouch reports whether the node follows the topic in the store by itself, and its last call was answered.
func (d *feed) inTouch() bool { return !d.failing.Load() && !d.byPeers.Load() }

// awaitPeers waits while a peer passes the topic's changes on, until the store is to be asked.
func (d *feed) awaitPeers(ctx context.Context) {
	if !d.follower.parts.HasForwarder() {
		return
	}
	d.byPeers.Store(true)
	defer d.byPeers.Store(false)
	for !d.urgent.Load() && d.follower.parts.HasForwarder() && pacing.Sleep(ctx, lookEvery) {
	}
}
