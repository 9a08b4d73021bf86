// Package follow keeps a node's knowledge of the store: the configuration, the endpoints and the other nodes.
//
// Guarantees. A configuration never goes back to a lower version within one life of the process. Age says how old the
// knowledge may be: it counts from the sending of the last call that confirmed it, never from the arrival of an
// answer, and goes on while the process is suspended. Lost history is read anew in full.
//
// Calls to the store cost and a whole fleet makes them, so that only some nodes of each data centre confirm the
// configuration every two seconds. The others take their word (Relay), wait long for changes, and ask the store
// themselves as soon as that word stops or tells of something that their own watch does not. In a large data centre they
// take the changes of the endpoints from that node too (ApplyEndpointChanges), and the configuration; a node that can't reach the
// store takes a later configuration from any other one (ApplyConfiguration, ApplyConfigurationChanges).
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

// Dependencies are what a Follower works with.
type Dependencies struct {
	Source    Source
	Directory *directory.Directory
	Clock     boottime.Clock
	// Accepted is called with each configuration before it is in force.
	OnConfiguration func(*routetable.Table)
	// Confirms tells whether this node is one of those that confirm the configuration for the others.
	Confirms func() bool
	// ForwardsChanges tells whether this node is the one that passes changes of the endpoints on to those of its data centre, and
	// HasForwarder whether another one does so for this node.
	ForwardsChanges func() bool
	HasForwarder    func() bool
	// Fleet returns the number of nodes, and whether a listed one is silent.
	Fleet func() (nodes int, silent bool)
	// Listed is closed once this node is listed. The list is read after that, so that of two nodes that start at a time
	// one at least finds the other.
	Registered <-chan struct{}
	Log        zerolog.Logger
	Metrics    *metrics.Set
}

// Follower follows the store. Its readers are safe for concurrent use.
type Follower struct {
	parts     Dependencies
	feeds     [topics]*feed
	inForce   atomic.Pointer[configuration]
	nodes     atomic.Pointer[[]Peer]
	confirmed atomic.Int64
	relayed   relayed
	handedOn  steps
	// accepting makes configurations from the store and from peers follow one another.
	accepting sync.Mutex
	// unread is the version of the last passed-on configuration that could not be read, under accepting.
	unread uint64

	calls, failed, reloads, rejected *metrics.Counter
}

// New returns a follower that knows nothing. Run must run.
func New(parts Dependencies) *Follower {
	f := &Follower{
		parts:    parts,
		calls:    parts.Metrics.NewCounter("hawthornrill_store_calls_total"),
		failed:   parts.Metrics.NewCounter("hawthornrill_store_call_failures_total"),
		reloads:  parts.Metrics.NewCounter("hawthornrill_store_full_reads_total"),
		rejected: parts.Metrics.NewCounter("hawthornrill_store_entries_rejected_total"),
	}
	for topic := range topics {
		f.feeds[topic] = &feed{follower: f, topic: topic}
	}
	f.nodes.Store(new([]Peer))
	parts.Metrics.NewGauge("hawthornrill_store_knowledge_age_seconds", func() float64 {
		return f.Age(parts.Clock()).Seconds()
	})
	return f
}

// Table returns the configuration in force, nil before the first.
func (f *Follower) Table() *routetable.Table {
	if c := f.inForce.Load(); c != nil {
		return c.table
	}
	return nil
}

// Nodes returns the nodes as last listed, this one included.
func (f *Follower) Nodes() []Peer { return *f.nodes.Load() }

// Revision returns the revision up to which a topic is known, and that of its last change.
func (f *Follower) Revision(topic Topic) (known, last Revision) {
	d := f.feeds[topic]
	return Revision(d.revision.Load()), Revision(d.last.Load())
}

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
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range f.feeds {
		group.Go(func() error { return d.run(ctx) })
	}
	group.Go(func() error { return f.look(ctx) })
	group.Go(func() error { return f.listNodes(ctx) })
	return group.Wait()
}

// mustConfirm reports whether this node can't rely on its peers' confirmations.
func (f *Follower) mustConfirm() bool {
	return f.parts.Confirms() || f.Age(f.parts.Clock()) > relayFresh
}

// batchPause is how long changes are collected before the store is asked for more.
func (f *Follower) batchPause() time.Duration {
	if f.parts.ForwardsChanges() {
		return passOnPause
	}
	nodes, _ := f.parts.Fleet()
	return min(batchPause+time.Duration(nodes)*batchPauseNode, batchPauseMost)
}

// replace makes what was loaded the whole truth.
func (f *Follower) replace(d *feed, change Change) {
	f.reject(change.Rejected)
	if d.topic == Configuration {
		f.acceptFromStore(change)
		return
	}
	f.parts.Directory.Drop(change.Unusable)
	f.parts.Directory.Replace(f.parts.Clock(), change.Endpoints, d.keepUntil())
}

// apply brings a change in.
func (f *Follower) apply(d *feed, change Change) {
	f.reject(change.Rejected)
	f.acceptFromStore(change)
	f.parts.Directory.Drop(change.Unusable)
	if len(change.Endpoints)+len(change.Removed) > 0 {
		f.parts.Directory.Apply(f.parts.Clock(), change.Endpoints, change.Removed, d.keepUntil())
		f.logEndpoints(change)
	}
}

// rejectedLines bounds the lines in the log for the entries of one answer that can't be used; the counter counts all.
const rejectedLines = 10

// reject logs entries that can't be used.
func (f *Follower) reject(errs []error) {
	f.rejected.Add(len(errs))
	for _, err := range errs[:min(len(errs), rejectedLines)] {
		f.parts.Log.Error().Err(err).Int("entries", len(errs)).Msg("store entry can't be used")
	}
}

func (f *Follower) logEndpoints(change Change) {
	for _, e := range change.Endpoints {
		f.parts.Log.Info().Str("endpoint", string(e.ID)).Str("service", e.Service).Bool("leaving", e.Leaving).Int64("born", e.Born).
			Uint64("revision", uint64(change.Revision)).Msg("endpoint listed")
	}
	for _, id := range change.Removed {
		f.parts.Log.Info().Str("endpoint", string(id)).Uint64("revision", uint64(change.Revision)).Msg("endpoint removed")
	}
}

// confirm notes that the knowledge of the configuration was complete at the instant.
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

// look drops kept entries when their time is over, and asks the store when the peers' confirmations have stopped.
func (f *Follower) look(ctx context.Context) error {
	configuration := f.feeds[Configuration]
	var hurried boottime.Instant
	for pacing.Sleep(ctx, lookEvery) {
		now := f.parts.Clock()
		for _, id := range f.parts.Directory.Sweep(now) {
			f.parts.Log.Info().Str("endpoint", string(id)).Msg("endpoint not listed again after an outage, removed")
		}
		age := f.Age(now)
		if age != never && age > relayLost && now.Sub(hurried) > probeTimeout {
			hurried = now
			configuration.hurry()
		}
	}
	return ctx.Err()
}

// listNodes reads the list of nodes at the start, and again while a listed one is silent, since it may be gone.
func (f *Follower) listNodes(ctx context.Context) error {
	select {
	case <-f.parts.Registered:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		wait := nodesEvery
		if _, silent := f.parts.Fleet(); silent || len(f.Nodes()) == 0 {
			if err := f.readNodes(ctx); err != nil && ctx.Err() == nil {
				f.parts.Log.Debug().Err(err).Msg("list of nodes not read")
				wait = nodesRetry
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
	list, err := f.parts.Source.Nodes(ctx, len(f.Nodes()) > 0)
	if err != nil {
		f.failed.Inc()
		return err
	}
	f.reject(list.Rejected)
	f.nodes.Store(&list.Nodes)
	f.parts.Log.Info().Int("nodes", len(list.Nodes)).Msg("list of nodes read")
	return nil
}
