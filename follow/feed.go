package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/pacing"
)

// feed follows one topic. One goroutine runs it; the atomics may be read by others.
type feed struct {
	follower *Follower
	topic    Topic
	// revision is the store's, up to which the topic is known, last that of its last change.
	revision atomic.Uint64
	last     atomic.Uint64
	// interrupt ends the watch in progress, nil if there is none; urgent makes the next one a probe.
	interrupt atomic.Pointer[context.CancelFunc]
	urgent    atomic.Bool
	// reload makes the next call a full read; receiving is true while an answer is coming in.
	reload    atomic.Bool
	receiving atomic.Bool

	// aheadSince is since when peers have been ahead of this node while its own calls failed, zero if they are not.
	aheadSince atomic.Int64

	// failing is true between the first failed call and the next good one, returned is when that was.
	failing  atomic.Bool
	failures int
	returned boottime.Instant

	// mu orders changes from the store and from peers.
	mu sync.Mutex
	// whole is true once all of the topic is known, until its history is lost. since is the revision after which the
	// next change told to peers holds.
	whole bool
	since Revision
	told  []toldChange
	// byPeers is true while changes are taken from a peer instead of the store.
	byPeers atomic.Bool
}

// run follows the topic until the context ends.
func (d *feed) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.load(ctx) {
			d.watch(ctx)
		}
	}
	return ctx.Err()
}

// load reads everything and reports success.
func (d *feed) load(ctx context.Context) bool {
	f := d.follower
	f.reloads.Inc()
	sent := f.parts.Clock()
	d.reload.Store(false)
	d.urgent.Store(false)
	callCtx, cancel := withSilenceTimeout(ctx, loadTimeout, &d.receiving)
	defer cancel()
	f.calls.Inc()
	change, err := f.parts.Source.Load(callCtx, d.topic)
	if err != nil {
		d.fail(ctx, "full read", err)
		return false
	}
	d.succeed()
	d.replace(change, sent)
	f.parts.Log.Info().Stringer("topic", d.topic).Uint64("revision", uint64(change.Revision)).
		Int("endpoints", len(change.Endpoints)).Dur("took_ms", f.parts.Clock().Sub(sent)).Msg("store read in full")
	return true
}

// watch follows changes until the topic has to be loaded again.
func (d *feed) watch(ctx context.Context) {
	f := d.follower
	for ctx.Err() == nil {
		d.awaitPeers(ctx)
		if d.reload.Load() {
			d.load(ctx)
			continue
		}
		sent := f.parts.Clock()
		change, err := d.watchOnce(ctx)
		switch {
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrResponseTooLarge):
			d.lose()
			f.parts.Log.Warn().Err(err).Stringer("topic", d.topic).Uint64("revision", d.revision.Load()).
				Msg("changes can't be had from the store, reading in full")
			return
		case err != nil && d.urgent.Load():
			// Interrupted to ask at once.
			continue
		case err != nil:
			d.fail(ctx, "watch", err)
			continue
		}
		d.succeed()
		d.apply(change, sent)
		if change.Last > 0 {
			pacing.Sleep(ctx, f.batchPause())
		}
	}
}

// replace makes what was loaded the whole truth.
func (d *feed) replace(change Change, sent boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.replace(d, change)
	d.note(change, sent)
	d.whole, d.since, d.told = true, change.Revision, nil
}

// apply brings a change from the store in. One that is older than what peers have passed on meanwhile says nothing new.
func (d *feed) apply(change Change, sent boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.topic == Endpoints && uint64(change.Revision) < d.revision.Load() {
		return
	}
	d.follower.apply(d, change)
	if d.topic == Endpoints && change.Last > 0 {
		d.keepToPassOn(change)
	}
	d.note(change, sent)
}

// lose notes that the topic is no longer known in full.
func (d *feed) lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.whole = false
}

// note keeps how far the topic is known.
func (d *feed) note(change Change, sent boottime.Instant) {
	d.revision.Store(max(uint64(change.Revision), d.revision.Load()))
	d.last.Store(max(uint64(change.Last), d.last.Load()))
	if d.topic == Configuration {
		d.follower.confirm(sent)
	}
}

func (d *feed) watchOnce(ctx context.Context) (Change, error) {
	wait, timeout := d.wait()
	ctx, cancel := withSilenceTimeout(ctx, timeout, &d.receiving)
	defer cancel()
	d.interrupt.Store(&cancel)
	defer d.interrupt.Store(nil)
	d.follower.calls.Inc()
	return d.follower.parts.Source.Watch(ctx, d.topic, Revision(d.revision.Load()), wait)
}

// catchUp asks at once for something later that is known to be there. Of the configuration, whose changes each hold all of
// it, it is read as it is now: to a node that is three changes behind a watch would send three whole ones.
func (d *feed) catchUp() {
	if d.topic == Configuration {
		d.reload.Store(true)
	}
	d.hurry()
}

// wait chooses how long the next watch waits and how long its answer may take.
func (d *feed) wait() (wait, timeout time.Duration) {
	f := d.follower
	if d.urgent.Swap(false) || d.failing.Load() {
		return probeWait, probeTimeout
	}
	wait = longWait
	if d.topic == Configuration && f.mustConfirm() || d.topic == Endpoints && f.parts.ForwardsChanges() {
		wait = confirmWait
	}
	return wait, wait + watchSlack
}

// hurry ends the watch in progress and makes the next one ask at once. An answer that is coming in is waited for.
func (d *feed) hurry() {
	d.urgent.Store(true)
	if cancel := d.interrupt.Load(); cancel != nil && !d.receiving.Load() {
		(*cancel)()
	}
}

func (d *feed) succeed() {
	d.failures = 0
	if !d.failing.Swap(false) {
		d.aheadSince.Store(0)
		return
	}
	f := d.follower
	now := f.parts.Clock()
	d.returned = now
	if ahead := d.aheadSince.Swap(0); ahead != 0 && now.Sub(boottime.Instant(ahead)) > aloneAfter {
		// The store was there for others: what it lists no more has not lapsed with it, but is gone.
		d.returned = 0
	}
	f.parts.Log.Info().Stringer("topic", d.topic).Dur("age_ms", f.Age(now)).Bool("outage", d.returned != 0).
		Msg("store reached again")
}

// fail notes a failed call and pauses.
func (d *feed) fail(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f := d.follower
	f.failed.Inc()
	d.failures++
	if !d.failing.Swap(true) {
		f.parts.Log.Warn().Err(err).Stringer("topic", d.topic).Str("call", call).
			Dur("age_ms", f.Age(f.parts.Clock())).Msg("store lost")
	}
	most := min(retryFirst<<min(d.failures-1, 8), retryMost)
	pacing.Sleep(ctx, most/2+rand.N(most))
}

// keepUntil is until when entries that are missing now are kept.
func (d *feed) keepUntil() boottime.Instant {
	if d.returned == 0 {
		return 0
	}
	return d.returned.Add(returnGrace)
}
