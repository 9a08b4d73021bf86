// Package follow tracks the contents of the store for a node: the configuration, the endpoints and the other nodes.
//
// Guarantees. The configuration version never decreases while the process runs. Age is an upper bound on the age
// of the configuration: it counts from the sending of the last call that confirmed it, not from the arrival of the
// response, and continues while the process is suspended. A topic whose history is lost is read again in full.
//
// Store calls have a price and every node makes them, so only some nodes of each data centre confirm the configuration every
// two seconds. The others rely on the state that these report (ObservePeer), use long watches, and query the store as soon
// as the reports stop or show a change that their own watch has not returned. In a large data centre they also take
// endpoint changes (ApplyEndpointChanges) and the configuration from the forwarder. A node that can't reach the store takes
// a later configuration from any peer (ApplyConfiguration, ApplyConfigurationChanges).
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/routetable"
)

// Dependencies are the collaborators of a Follower.
type Dependencies struct {
	Source    Source
	Directory *directory.Directory
	Clock     boottime.Clock
	// OnConfiguration is called with each configuration before it is activated.
	OnConfiguration func(*routetable.Table)
	// Confirms reports whether this node is one of those that confirm the configuration for the others.
	Confirms func() bool
	// ForwardsChanges reports whether this node forwards endpoint changes to the others of its data centre, and HasForwarder
	// whether another node does so for this one.
	ForwardsChanges func() bool
	HasForwarder    func() bool
	// Fleet returns the number of nodes and whether a listed one is silent.
	Fleet func() (nodes int, silent bool)
	// Registered is closed once this node is listed. The list of nodes is read only after that, so that of two nodes that
	// start at the same time at least one finds the other.
	Registered <-chan struct{}
	Log        zerolog.Logger
	Metrics    *metrics.Set
}

// Follower follows the store. Its accessors are safe for concurrent use.
type Follower struct {
	deps      Dependencies
	feeds     [topics]*feed
	current   atomic.Pointer[configuration]
	nodes     atomic.Pointer[[]Peer]
	confirmed atomic.Int64
	store     storeHistory
	list      listAge
	// recovered is when a call of this node last succeeded after one that failed.
	recovered     atomic.Int64
	peerProgress  peerProgress
	recentChanges changeHistory
	// activateMu serialises configurations from the store and from peers.
	activateMu sync.Mutex
	// unreadableVersion is the version of the last configuration from a peer that could not be decoded or applied, guarded by
	// activateMu.
	unreadableVersion uint64

	calls, failed, reloads, rejected, replaced *metrics.Counter
}

// New returns a follower without any state. Run fills it.
func New(deps Dependencies) *Follower {
	f := &Follower{
		deps:     deps,
		calls:    deps.Metrics.NewCounter("hawthornrill_store_calls_total"),
		failed:   deps.Metrics.NewCounter("hawthornrill_store_call_failures_total"),
		reloads:  deps.Metrics.NewCounter("hawthornrill_store_full_reads_total"),
		rejected: deps.Metrics.NewCounter("hawthornrill_store_entries_rejected_total"),
		replaced: deps.Metrics.NewCounter("hawthornrill_store_watches_replaced_total"),
	}
	for topic := range topics {
		f.feeds[topic] = &feed{follower: f, topic: topic}
	}
	f.nodes.Store(new([]Peer))
	deps.Metrics.NewGauge("hawthornrill_store_knowledge_age_seconds", func() float64 {
		return f.Age(deps.Clock()).Seconds()
	})
	deps.Metrics.NewGauge("hawthornrill_endpoint_list_age_seconds", func() float64 {
		return f.EndpointsAge(deps.Clock()).Seconds()
	})
	return f
}

// Table returns the active configuration, nil before the first.
func (f *Follower) Table() *routetable.Table {
	if c := f.current.Load(); c != nil {
		return c.table
	}
	return nil
}

// Nodes returns the nodes as last listed, including this one.
func (f *Follower) Nodes() []Peer { return *f.nodes.Load() }

// Revision returns the revision up to which a topic is known and that of its last change.
func (f *Follower) Revision(topic Topic) (known, last Revision) {
	d := f.feeds[topic]
	return Revision(d.revision.Load()), Revision(d.last.Load())
}

// unknownAge is the age before any configuration is known.
const unknownAge = time.Duration(1<<63 - 1)

// Age returns an upper bound on the age of the known configuration.
func (f *Follower) Age(now boottime.Instant) time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return unknownAge
	}
	return now.Sub(boottime.Instant(at))
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range f.feeds {
		group.Go(func() error { return d.run(ctx) })
	}
	group.Go(func() error { return f.monitor(ctx) })
	group.Go(func() error { return f.listNodes(ctx) })
	return group.Wait()
}

// mustConfirm reports whether this node must confirm the configuration itself.
func (f *Follower) mustConfirm() bool {
	return f.deps.Confirms() || f.Age(f.deps.Clock()) > peerConfirmationMaxAge
}

// batchDelay is how long changes are collected before the store is queried again.
func (f *Follower) batchDelay() time.Duration {
	if f.deps.ForwardsChanges() {
		return forwarderBatchDelay
	}
	nodes, _ := f.deps.Fleet()
	return min(baseBatchDelay+time.Duration(nodes)*batchDelayPerNode, maxBatchDelay)
}

// replace replaces the known state of a topic by a full read.
func (f *Follower) replace(d *feed, change Change) {
	f.recordRejected(change.Rejected)
	if d.topic == Configuration {
		f.activateFromStore(change)
		return
	}
	f.deps.Directory.Drop(change.Unusable)
	f.deps.Directory.Replace(f.deps.Clock(), change.Endpoints, f.retainMissingUntil())
}

// retainMissingUntil returns until when entries that are missing now are retained.
func (f *Follower) retainMissingUntil() boottime.Instant {
	_, until := f.store.state()
	return until
}

// apply applies a change.
func (f *Follower) apply(d *feed, change Change) {
	f.recordRejected(change.Rejected)
	f.activateFromStore(change)
	f.deps.Directory.Drop(change.Unusable)
	if len(change.Endpoints)+len(change.Removed) > 0 {
		now, keepUntil := f.deps.Clock(), f.retainMissingUntil()
		f.deps.Directory.Apply(now, change.Endpoints, change.Removed, keepUntil)
		f.logEndpoints(change, keepUntil.Sub(now))
	}
}

// maxRejectedLogLines bounds the log lines for rejected entries of one response; the counter counts all of them.
const maxRejectedLogLines = 10

// recordRejected counts and logs entries that can't be used.
func (f *Follower) recordRejected(errs []error) {
	f.rejected.Add(len(errs))
	for _, err := range errs[:min(len(errs), maxRejectedLogLines)] {
		f.deps.Log.Error().Err(err).Int("entries", len(errs)).Msg("store entry rejected")
	}
}

func (f *Follower) logEndpoints(change Change, retention time.Duration) {
	for _, e := range change.Endpoints {
		f.deps.Log.Info().Str("endpoint", string(e.ID)).Str("service", e.Service).Bool("leaving", e.Leaving).Int64("born", e.Born).
			Str("software_version", e.Version).Uint64("revision", uint64(change.Revision)).Msg("endpoint listed")
	}
	for _, id := range change.Removed {
		f.deps.Log.Info().Str("endpoint", string(id)).Uint64("revision", uint64(change.Revision)).
			Dur("retained_ms", max(retention, 0)).Msg("endpoint removed")
	}
}

// confirm records that the known configuration was the newest at the given time.
func (f *Follower) confirm(at boottime.Instant) {
	if f.Table() == nil {
		return
	}
	for {
		old := f.confirmed.Load()
		if int64(at) <= old || f.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// monitor removes missing endpoints that are no longer retained. It queries the store when this node begins to confirm the configuration, and
// when the peers' confirmations have stopped.
func (f *Follower) monitor(ctx context.Context) error {
	configuration := f.feeds[Configuration]
	var lastProbe boottime.Instant
	confirms := f.deps.Confirms()
	for pacing.Sleep(ctx, monitorInterval) {
		now := f.deps.Clock()
		f.removeMissing(now)
		f.logListAge(now)
		f.replaceLostWatch(now)
		// The watch of a node that did not confirm the configuration may wait for long.
		confirmed := confirms
		confirms = f.deps.Confirms()
		if confirms && !confirmed {
			configuration.probeNow()
		}
		age := f.Age(now)
		if age != unknownAge && age > peerConfirmationTimeout && now.Sub(lastProbe) > probeTimeout {
			lastProbe = now
			configuration.probeNow()
		}
	}
	return ctx.Err()
}

// removeMissing removes missing endpoints that are no longer retained. While this node can't call the store, they may be listed
// again without its knowledge.
func (f *Follower) removeMissing(now boottime.Instant) {
	if f.feeds[Endpoints].failing.Load() || f.store.fails() {
		return
	}
	for _, id := range f.deps.Directory.Sweep(now) {
		f.deps.Log.Info().Str("endpoint", string(id)).Msg("endpoint not listed again, removed")
	}
}

// listNodes reads the list of nodes at the start, and again while a listed node is silent, since it may be gone.
func (f *Follower) listNodes(ctx context.Context) error {
	select {
	case <-f.deps.Registered:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		wait := nodeListInterval
		if _, silent := f.deps.Fleet(); silent || len(f.Nodes()) == 0 {
			if err := f.readNodes(ctx); err != nil && ctx.Err() == nil {
				f.deps.Log.Debug().Err(err).Msg("failed to read the list of nodes")
				wait = nodeListRetryDelay
			}
		}
		if !pacing.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

func (f *Follower) readNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	f.calls.Inc()
	list, err := f.deps.Source.Nodes(ctx, len(f.Nodes()) > 0)
	if err != nil {
		f.failed.Inc()
		return err
	}
	f.recordRejected(list.Rejected)
	f.nodes.Store(&list.Nodes)
	f.deps.Log.Info().Int("nodes", len(list.Nodes)).Msg("list of nodes read")
	return nil
}
