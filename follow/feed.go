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
	"hawthornrill.example/hawthornrill/store"
)

// feed follows one topic. It is run by one goroutine; the atomics may be read by others.
type feed struct {
	follower *Follower
	topic    Topic
	// revision is the store revision up to which the topic is known, last the revision of its last change.
	revision atomic.Uint64
	last     atomic.Uint64
	// loaded is true once the topic has been read in full.
	loaded atomic.Bool
	// interrupt cancels the watch in progress, nil if there is none. probeNext makes the next watch a probe.
	interrupt atomic.Pointer[context.CancelFunc]
	probeNext atomic.Bool
	// waitingSince is when the watch in progress was sent, zero if there is none or it is a probe.
	waitingSince atomic.Int64
	// reloadNext makes the next call a full read. receiving is true while a response is arriving.
	reloadNext atomic.Bool
	receiving  atomic.Bool

	// failing is true from a failed call until the next successful one. failures is the number of calls that have failed since
	// failedSince.
	failing     atomic.Bool
	failures    int
	failedSince boottime.Instant

	// mu serialises changes from the store and from peers.
	mu sync.Mutex
	// complete is true once the topic is fully known, until its history is lost. forwardBase is the revision to which the
	// next forwarded change applies.
	complete    bool
	forwardBase Revision
	forwarded   []forwardedChange
	// fedByForwarder is true while changes come from a peer instead of the store.
	fedByForwarder atomic.Bool
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

// load reads the topic in full and reports success.
func (d *feed) load(ctx context.Context) bool {
	f := d.follower
	f.reloads.Inc()
	sent := f.deps.Clock()
	d.reloadNext.Store(false)
	d.probeNext.Store(false)
	callCtx, cancel := withStallTimeout(ctx, loadTimeout, &d.receiving)
	defer cancel()
	f.calls.Inc()
	change, err := f.deps.Source.Load(callCtx, d.topic)
	if err != nil {
		d.backOff(ctx, "full read", sent, err)
		return false
	}
	f.store.recordAnswer(f.deps.Clock())
	d.replace(change, sent)
	d.recordSuccess()
	f.deps.Log.Info().Stringer("topic", d.topic).Uint64("revision", uint64(change.Revision)).
		Int("endpoints", len(change.Endpoints)).Dur("took_ms", f.deps.Clock().Sub(sent)).Msg("topic read in full")
	return true
}

// watch follows changes until the topic must be loaded again.
func (d *feed) watch(ctx context.Context) {
	f := d.follower
	for ctx.Err() == nil {
		d.waitWhileForwarded(ctx)
		if d.reloadNext.Load() {
			d.load(ctx)
			continue
		}
		sent := f.deps.Clock()
		change, err := d.watchOnce(ctx)
		switch {
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrResponseTooLarge):
			d.markIncomplete()
			f.deps.Log.Warn().Err(err).Stringer("topic", d.topic).Uint64("revision", d.revision.Load()).
				Msg("changes not available from the store, reading the topic in full")
			return
		case err != nil && d.probeNext.Load():
			// Interrupted by probeNow.
			continue
		case err != nil:
			d.backOff(ctx, "watch", sent, err)
			continue
		}
		f.store.recordAnswer(f.deps.Clock())
		d.apply(change, sent)
		d.recordSuccess()
		if change.Last > 0 {
			pacing.Sleep(ctx, f.batchDelay())
		}
	}
}

// replace replaces the known state by a full read.
func (d *feed) replace(change Change, sent boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.replace(d, change)
	d.loaded.Store(true)
	d.recordProgress(change, sent)
	d.complete, d.forwardBase, d.forwarded = true, change.Revision, nil
}

// apply applies a change from the store. A change that is older than those received from peers is ignored.
func (d *feed) apply(change Change, sent boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.topic == Endpoints && uint64(change.Revision) < d.revision.Load() {
		return
	}
	d.follower.apply(d, change)
	if d.topic == Endpoints && change.Last > 0 {
		d.queueForForwarding(change)
	}
	d.recordProgress(change, sent)
}

// markIncomplete records that the topic is no longer known completely.
func (d *feed) markIncomplete() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = false
}

// recordProgress records the revisions up to which the topic is known. sent is when the call was sent, zero if a peer forwarded the change.
func (d *feed) recordProgress(change Change, sent boottime.Instant) {
	d.revision.Store(max(uint64(change.Revision), d.revision.Load()))
	d.last.Store(max(uint64(change.Last), d.last.Load()))
	if d.topic == Configuration {
		d.follower.confirm(sent)
	}
	if sent > 0 {
		d.follower.observeAnswer(d.topic, change, sent)
	}
}

func (d *feed) watchOnce(ctx context.Context) (Change, error) {
	wait, timeout := d.watchTiming()
	ctx, cancel := withStallTimeout(ctx, timeout, &d.receiving)
	defer cancel()
	d.interrupt.Store(&cancel)
	defer d.interrupt.Store(nil)
	if wait > probeWait {
		d.waitingSince.Store(int64(d.follower.deps.Clock()))
		defer d.waitingSince.Store(0)
	}
	d.follower.calls.Inc()
	return d.follower.deps.Source.Watch(ctx, d.topic, Revision(d.revision.Load()), wait)
}

// catchUp queries the store at once for a known later change. The configuration is read in full, since each of its changes
// contains all of it: a watch by a node that is three changes behind would return three complete configurations.
func (d *feed) catchUp() {
	if d.topic == Configuration {
		d.reloadNext.Store(true)
	}
	d.probeNow()
}

// watchTiming returns how long the next watch waits for a change and the timeout of the call.
func (d *feed) watchTiming() (wait, timeout time.Duration) {
	f := d.follower
	if d.probeNext.Swap(false) || d.failing.Load() {
		return probeWait, probeTimeout
	}
	wait = idleWatchWait
	if d.topic == Configuration && f.mustConfirm() || d.topic == Endpoints && f.deps.ForwardsChanges() {
		wait = confirmingWatchWait
	}
	return wait, wait + watchTimeoutMargin
}

// probeNow cancels the watch in progress, unless its response is arriving, and makes the next watch a probe.
func (d *feed) probeNow() {
	d.probeNext.Store(true)
	if cancel := d.interrupt.Load(); cancel != nil && !d.receiving.Load() {
		(*cancel)()
	}
}

// recordSuccess records that the response to a call has been applied.
func (d *feed) recordSuccess() {
	failures := d.failures
	d.failures = 0
	if !d.failing.Swap(false) {
		return
	}
	f := d.follower
	now := f.deps.Clock()
	f.recovered.Store(int64(now))
	available, retainUntil := f.store.state()
	f.deps.Log.Info().Stringer("topic", d.topic).Dur("age_ms", f.Age(now)).
		Dur("failed_for_ms", now.Sub(d.failedSince)).Int("failures", failures).
		Dur("available_for_ms", now.Sub(available.Since)).Dur("retention_ms", max(retainUntil.Sub(now), 0)).
		Msg("store reachable again")
}

// backOff records a failed call and waits before the next one. A call that the store's own rest held back was not sent.
func (d *feed) backOff(ctx context.Context, call string, sent boottime.Instant, err error) {
	if ctx.Err() != nil {
		return
	}
	f := d.follower
	f.failed.Inc()
	var rest *store.RestError
	resting := errors.As(err, &rest)
	if !resting {
		f.store.recordFailure(sent)
	}
	if !d.failing.Swap(true) {
		d.failedSince = f.deps.Clock()
		f.deps.Log.Warn().Err(err).Stringer("topic", d.topic).Str("call", call).
			Dur("age_ms", f.Age(f.deps.Clock())).Msg("store call failed")
	}
	if resting {
		pacing.Sleep(ctx, rest.Left+rand.N(minRetryDelay))
		return
	}
	d.failures++
	maxDelay := min(minRetryDelay<<min(d.failures-1, 8), maxRetryDelay)
	pacing.Sleep(ctx, maxDelay/2+rand.N(maxDelay))
}
