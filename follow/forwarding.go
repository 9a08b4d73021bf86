package follow

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/pacing"
)

// In a large data centre one node, the forwarder, follows the store and sends each change to the others, since a watch at
// each node makes as many calls per change as there are nodes. The others return to the store as soon as the forwarder falls
// silent, loses the store or sends a change that does not apply to what they know, and probe the store once its
// confirmation of the configuration is too old (monitor).

const (
	// forwardDuration is how long a change is repeated: some twenty reports within a data centre, some of which may be lost.
	forwardDuration = 2 * time.Second
	// maxForwardedEndpoints bounds the endpoints in a forwarded change. A larger one is left to the store, since a report that
	// does not fit into a few packets is often lost.
	maxForwardedEndpoints = 40
	// forwarderBatchDelay lets one call of the forwarder read several changes. It is short since few nodes make that call.
	forwarderBatchDelay = 200 * time.Millisecond
)

// forwardedChange is a change to be sent to peers.
type forwardedChange struct {
	change directory.Change
	at     boottime.Instant
	// keepUntil is until when removed endpoints are retained.
	keepUntil boottime.Instant
}

// queueForForwarding queues a change for the peers. The feed's lock is held.
func (d *feed) queueForForwarding(change Change) {
	now := d.follower.deps.Clock()
	d.expireForwarded(now)
	forwarded := directory.Change{
		After: uint64(d.forwardBase), Last: uint64(change.Last), Revision: uint64(change.Revision),
		Listed: change.Endpoints, Removed: change.Removed, Unusable: change.Unusable,
	}
	d.forwardBase = change.Last
	if len(forwarded.Listed)+len(forwarded.Removed)+len(forwarded.Unusable) <= maxForwardedEndpoints {
		d.forwarded = append(d.forwarded, forwardedChange{forwarded, now, d.follower.retainMissingUntil()})
	}
}

// expireForwarded drops changes that have been repeated for forwardDuration. The feed's lock is held.
func (d *feed) expireForwarded(now boottime.Instant) {
	for len(d.forwarded) > 0 && now.Sub(d.forwarded[0].at) > forwardDuration {
		d.forwarded = d.forwarded[1:]
	}
}

// EndpointChanges returns the latest endpoint changes for the peers of the data centre, and whether they may rely on this
// node for these and for the configuration, that is, whether it follows the store itself and its last calls succeeded.
func (f *Follower) EndpointChanges() (changes []directory.Change, reliable bool) {
	if !f.deps.ForwardsChanges() || !f.feeds[Configuration].followsStore() || !f.feeds[Endpoints].followsStore() {
		return nil, false
	}
	d := f.feeds[Endpoints]
	now := f.deps.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireForwarded(now)
	for _, p := range d.forwarded {
		change := p.change
		change.KeepFor = max(p.keepUntil.Sub(now), 0)
		changes = append(changes, change)
	}
	return changes, d.complete
}

// ApplyEndpointChanges applies endpoint changes forwarded by a peer of the data centre. If one does not apply to what this
// node knows, the store is queried.
func (f *Follower) ApplyEndpointChanges(changes []directory.Change) {
	d := f.feeds[Endpoints]
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		known := d.revision.Load()
		switch {
		case !d.complete:
			return
		case c.Last <= known:
		case c.After > known:
			f.deps.Log.Info().Uint64("known", known).Uint64("after", c.After).Msg("forwarded change missed, querying the store")
			d.probeNow()
			return
		default:
			d.applyForwarded(c)
		}
	}
}

// applyForwarded applies one forwarded change. The feed's lock is held.
func (d *feed) applyForwarded(c directory.Change) {
	f := d.follower
	now := f.deps.Clock()
	f.deps.Directory.Drop(c.Unusable)
	f.deps.Directory.Apply(now, c.Listed, c.Removed, now.Add(c.KeepFor))
	change := Change{Revision: Revision(c.Revision), Last: Revision(c.Last), Endpoints: c.Listed, Removed: c.Removed}
	f.logEndpoints(change, c.KeepFor)
	d.recordProgress(change, 0)
	// If this node becomes the forwarder, its changes start here.
	d.forwardBase = change.Last
}

// followsStore reports whether the node follows the topic in the store itself and its last call succeeded.
func (d *feed) followsStore() bool { return !d.failing.Load() && !d.fedByForwarder.Load() }

// waitWhileForwarded waits while a peer forwards the topic's changes, until the store must be queried.
func (d *feed) waitWhileForwarded(ctx context.Context) {
	if !d.follower.deps.HasForwarder() {
		return
	}
	d.fedByForwarder.Store(true)
	defer d.fedByForwarder.Store(false)
	for !d.probeNext.Load() && d.follower.deps.HasForwarder() && pacing.Sleep(ctx, monitorInterval) {
	}
}
