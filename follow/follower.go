// Package follow keeps a node's knowledge of the store: the configuration, the endpoints and the other nodes.
//
// Guarantees. A configuration never goes back to a lower version within one life of the process. Age says how old the
// knowledge may be: it counts from the sending of the last call that confirmed it, never from the arrival of an
// answer, and goes on while the process is suspended. Lost history is read anew in full.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/routetable"
)

// Parts are what a Follower works with.
type Parts struct {
	Source    Source
	Directory *directory.Directory
	Clock     boottime.Clock
	Log       zerolog.Logger
	Metrics   *metrics.Set
}

// Follower follows the store. Its readers are safe for concurrent use.
type Follower struct {
	parts     Parts
	table     atomic.Pointer[routetable.Table]
	peers     roster
	confirmed atomic.Int64
	revision  atomic.Uint64
	// reload asks for a full read, because a peer knows of something newer.
	reload  chan struct{}
	relayed relayed

	// failing is true between the first failed call and the next good one, returned is when that was.
	failing  bool
	failures int
	returned boottime.Instant

	calls    *metrics.Counter
	failed   *metrics.Counter
	reloads  *metrics.Counter
	rejected *metrics.Counter
}

// New returns a follower that knows nothing. Run must run.
func New(parts Parts) *Follower {
	f := &Follower{
		parts:    parts,
		reload:   make(chan struct{}, 1),
		calls:    parts.Metrics.NewCounter("hawthornrill_store_calls_total"),
		failed:   parts.Metrics.NewCounter("hawthornrill_store_call_failures_total"),
		reloads:  parts.Metrics.NewCounter("hawthornrill_store_full_reads_total"),
		rejected: parts.Metrics.NewCounter("hawthornrill_store_entries_rejected_total"),
	}
	f.peers.store(nil)
	parts.Metrics.NewGauge("hawthornrill_store_knowledge_age_seconds", func() float64 {
		return f.Age(parts.Clock()).Seconds()
	})
	return f
}

// Table returns the configuration in force, nil before the first.
func (f *Follower) Table() *routetable.Table { return f.table.Load() }

// Peers returns the other nodes and this one as the store lists them.
func (f *Follower) Peers() []Peer { return f.peers.load() }

// Revision returns the store's revision up to which everything is known.
func (f *Follower) Revision() Revision { return Revision(f.revision.Load()) }

// never is the age of knowledge that there is none of.
const never = time.Duration(1<<63 - 1)

// Age returns how old the knowledge of the configuration may be.
func (f *Follower) Age(now boottime.Instant) time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return never
	}
	return now.Sub(boottime.Instant(at))
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.sweep(ctx)
	for ctx.Err() == nil {
		if f.load(ctx) {
			f.watch(ctx)
		}
	}
	return ctx.Err()
}

// load reads everything and reports success.
func (f *Follower) load(ctx context.Context) bool {
	f.reloads.Inc()
	sent := f.parts.Clock()
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	f.calls.Inc()
	state, err := f.parts.Source.Load(callCtx)
	if err != nil {
		f.fail(ctx, "full read", err)
		return false
	}
	f.succeed()
	f.reject(state.Rejected)
	now := f.parts.Clock()
	f.parts.Directory.Replace(now, state.Endpoints, f.keepUntil())
	f.peers.store(state.Peers)
	f.accept(state.Table)
	f.revision.Store(uint64(state.Revision))
	f.confirm(sent)
	f.parts.Log.Info().Uint64("revision", uint64(state.Revision)).Int("endpoints", len(state.Endpoints)).
		Int("peers", len(state.Peers)).Dur("took_ms", now.Sub(sent)).Msg("store read in full")
	return true
}

// watch follows changes until the state has to be loaded again.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		sent := f.parts.Clock()
		change, err := f.watchOnce(ctx)
		switch {
		case errors.Is(err, ErrCompacted):
			f.parts.Log.Warn().Uint64("revision", f.revision.Load()).Msg("store history is gone, reading in full")
			return
		case err != nil && f.behind():
			f.parts.Log.Warn().Uint64("revision", f.revision.Load()).Msg("a peer has a later configuration, reading in full")
			return
		case err != nil:
			f.fail(ctx, "watch", err)
			continue
		}
		f.succeed()
		f.apply(change)
		f.confirm(sent)
		if len(change.Endpoints)+len(change.Removed)+len(change.Peers) > 0 {
			pause(ctx, batchPause)
		}
	}
}

// behind reports whether the watch was interrupted for a full read.
func (f *Follower) behind() bool {
	select {
	case <-f.reload:
		return true
	default:
		return false
	}
}

func (f *Follower) watchOnce(ctx context.Context) (Change, error) {
	wait, timeout := watchWait, watchWait+watchSlack
	if f.failing {
		wait, timeout = probeWait, probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.setInterrupt(cancel)
	defer f.setInterrupt(nil)
	f.calls.Inc()
	return f.parts.Source.Watch(ctx, Revision(f.revision.Load()), wait)
}

// reject logs entries that can't be read. The last good ones stay in force.
func (f *Follower) reject(errs []error) {
	for _, err := range errs {
		f.rejected.Inc()
		f.parts.Log.Error().Err(err).Msg("store entry can't be read")
	}
}

func (f *Follower) apply(change Change) {
	f.reject(change.Rejected)
	now := f.parts.Clock()
	if len(change.Endpoints)+len(change.Removed) > 0 {
		f.parts.Directory.Apply(now, change.Endpoints, change.Removed, f.keepUntil())
		f.logEndpoints(change)
	}
	f.peers.apply(change.Peers, change.RemovedPeers)
	f.accept(change.Table)
	f.revision.Store(max(uint64(change.Revision), f.revision.Load()))
}

func (f *Follower) logEndpoints(change Change) {
	for _, e := range change.Endpoints {
		f.parts.Log.Info().Str("endpoint", string(e.ID)).Str("service", e.Service).Bool("leaving", e.Leaving).
			Uint64("revision", uint64(change.Revision)).Msg("endpoint listed")
	}
	for _, id := range change.Removed {
		f.parts.Log.Info().Str("endpoint", string(id)).Uint64("revision", uint64(change.Revision)).Msg("endpoint removed")
	}
}

// accept puts a configuration into force unless a later one is.
func (f *Follower) accept(table *routetable.Table) {
	if table == nil {
		return
	}
	current := f.table.Load()
	if current != nil && table.Version <= current.Version {
		return
	}
	f.table.Store(table)
	f.parts.Log.Info().Uint64("version", table.Version).Int("routes", table.Routes()).
		Int("organisations", len(table.Organisations)).Msg("configuration in force")
}

// confirm notes that the knowledge was complete at the instant.
func (f *Follower) confirm(at boottime.Instant) {
	if f.table.Load() == nil {
		return
	}
	for {
		old := f.confirmed.Load()
		if int64(at) <= old || f.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// keepUntil is until when entries that are missing now are kept.
func (f *Follower) keepUntil() boottime.Instant {
	if f.returned == 0 {
		return 0
	}
	return f.returned.Add(returnGrace)
}

func (f *Follower) succeed() {
	f.failures = 0
	if !f.failing {
		return
	}
	f.failing = false
	f.returned = f.parts.Clock()
	f.parts.Log.Info().Dur("age_ms", f.Age(f.returned)).Msg("store reached again")
}

// fail notes a failed call and pauses.
func (f *Follower) fail(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failed.Inc()
	f.failures++
	if !f.failing {
		f.failing = true
		f.parts.Log.Warn().Err(err).Str("call", call).Dur("age_ms", f.Age(f.parts.Clock())).Msg("store lost")
	}
	d := min(retryFirst<<min(f.failures-1, 8), retryMost)
	pause(ctx, d/2+rand.N(d))
}

// sweep drops kept entries when their time is over.
func (f *Follower) sweep(ctx context.Context) {
	for pause(ctx, sweepEvery) {
		for _, id := range f.parts.Directory.Sweep(f.parts.Clock()) {
			f.parts.Log.Info().Str("endpoint", string(id)).Msg("endpoint not listed again after an outage, removed")
		}
	}
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
