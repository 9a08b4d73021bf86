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
	// Metrics gets the package's metrics; nil for none.
	Metrics *metrics.Set

	// Watchers is how many nodes of a data centre watch a document's head (2).
	Watchers int
	// Fanout is to how many peers a node hands an announcement on (8).
	Fanout int
	// AntiEntropyInterval is the mean time between comparisons with a random peer (5 s).
	AntiEntropyInterval time.Duration
	// Supervision is the time between looks at the membership (1 s).
	SupervisionInterval time.Duration
	// WatchTimeout is how long one watch call waits (45 s).
	WatchTimeout time.Duration
	// StoreTimeout bounds any other call to the store (5 s).
	StoreTimeout time.Duration
	// CallTimeout bounds a call to a peer (2 s).
	CallTimeout time.Duration
	// EditTimeout bounds an Update with all its attempts (15 s).
	EditTimeout time.Duration
	// RepairDelay is for how long the store must be behind before a watcher writes
	// its own version back (10 s).
	RepairDelay time.Duration
	// MaxRetryDelay bounds the backoff after an error of the store (2 s).
	MaxRetryDelay time.Duration
	// CollectInterval is the time between collections of parts that nothing refers
	// to (30 min); CollectAge is how long they must have been so (1 h).
	CollectInterval time.Duration
	CollectAge      time.Duration
	// PageBytes bounds the parts in one reply to a peer (128 KiB).
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
