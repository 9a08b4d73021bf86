package document

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/store"
)

// Options configure a Service. Transport, Members and Store are required; zero
// values of the others mean the defaults.
type Options struct {
	Transport peer.Transport
	Members   membership.View
	Store     store.Store
	Logger    zerolog.Logger
	// Metrics is the set in which the package registers its metrics; it may be nil.
	Metrics *metrics.Set

	// Watchers is the number of nodes per data centre that watch a document's head (2).
	Watchers int
	// Fanout is the number of peers to which a node forwards an announcement (8).
	Fanout int
	// AntiEntropyInterval is the mean time between comparisons with random peers (5 s).
	AntiEntropyInterval time.Duration
	// SupervisionInterval is the time between checks of whether, under the current
	// membership, this node has to watch the store. It is also the maximum mean time
	// between comparisons with peers while the node is not ready (1 s).
	SupervisionInterval time.Duration
	// WatchTimeout limits one watch call to the store (45 s).
	WatchTimeout time.Duration
	// StoreTimeout limits any other call to the store (5 s).
	StoreTimeout time.Duration
	// CallTimeout limits a call to a peer (2 s).
	CallTimeout time.Duration
	// EditTimeout limits an Update or ResolveEdit, including all attempts (15 s).
	EditTimeout time.Duration
	// RepairDelay is the minimum time for which the store must be behind before a
	// watcher writes its own version back (10 s).
	RepairDelay time.Duration
	// MaxRetryDelay limits the backoff of a watcher after store errors (2 s).
	MaxRetryDelay time.Duration
	// CollectInterval is the mean time between garbage collections of unreferenced
	// parts (30 min). CollectAge is how long a part must have been unreferenced
	// before it is deleted (1 h).
	CollectInterval time.Duration
	CollectAge      time.Duration
	// PageBytes limits the total size of the parts in one reply to a peer, except that
	// the first part is always sent (128 KiB).
	PageBytes int
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Watchers, 2)
	defaults.Set(&o.Fanout, 8)
	defaults.Set(&o.AntiEntropyInterval, 5*time.Second)
	defaults.Set(&o.SupervisionInterval, time.Second)
	defaults.Set(&o.WatchTimeout, 45*time.Second)
	defaults.Set(&o.StoreTimeout, 5*time.Second)
	defaults.Set(&o.CallTimeout, 2*time.Second)
	defaults.Set(&o.EditTimeout, 15*time.Second)
	defaults.Set(&o.RepairDelay, 10*time.Second)
	defaults.Set(&o.MaxRetryDelay, 2*time.Second)
	defaults.Set(&o.CollectInterval, 30*time.Minute)
	defaults.Set(&o.CollectAge, time.Hour)
	defaults.Set(&o.PageBytes, 128<<10)
	return o
}

func (o Options) check() error {
	var errs []error
	if o.Transport == nil {
		errs = append(errs, errors.New("document: Options.Transport is missing"))
	}
	if o.Members == nil {
		errs = append(errs, errors.New("document: Options.Members is missing"))
	}
	if o.Store == nil {
		errs = append(errs, errors.New("document: Options.Store is missing"))
	}
	return errors.Join(errs...)
}
