package membership

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// DefaultProbeInterval is the interval at which a node probes one peer of its
	// data centre.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultProbeTimeout is the timeout of a direct ping.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspicionTimeout is the time in which a suspect must answer or
	// refute.
	DefaultSuspicionTimeout = 1200 * time.Millisecond
	// DefaultRelays is the number of nodes asked to ping a peer that did not
	// answer.
	DefaultRelays = 3
	// DefaultExchangeInterval is the interval at which a delegate exchanges state
	// with its assigned data centre.
	DefaultExchangeInterval = 3 * time.Second
	// DefaultExchangeTimeout is the timeout of one attempt of an exchange.
	DefaultExchangeTimeout = time.Second
	// DefaultDelegates is the number of nodes of a data centre that exchange
	// state with each other data centre, and the number that read the host list.
	DefaultDelegates = 2
	// DefaultHostListInterval is the mean interval at which the assigned nodes
	// read the host list.
	DefaultHostListInterval = 5 * time.Second
	// DefaultGoneAfter is how long a node must be both unreachable and absent
	// from the host list before it is gone.
	DefaultGoneAfter = time.Minute
	// DefaultGoneRetention is how long the record of a node that is gone is kept.
	DefaultGoneRetention = time.Hour
)

// Options configure a Service. Zero values are replaced by the defaults.
type Options struct {
	// Transport carries the messages. Its Self is this node.
	Transport peer.Transport
	// HostList is the platform's host list; nil for none.
	HostList hostlist.List
	// Seeds are the configured initial peers. Their states are ignored.
	Seeds []hostlist.Host

	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
	Relays           int
	ExchangeInterval time.Duration
	ExchangeTimeout  time.Duration
	Delegates        int
	HostListInterval time.Duration
	GoneAfter        time.Duration
	GoneRetention    time.Duration

	// RandomSeed makes the choice of targets reproducible; 0 for a random seed.
	RandomSeed uint64
	Logger     zerolog.Logger
	// Metrics receives the service's metrics; nil for a separate set.
	Metrics *metrics.Set
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	defaults.Set(&o.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	defaults.Set(&o.Relays, DefaultRelays)
	defaults.Set(&o.ExchangeInterval, DefaultExchangeInterval)
	defaults.Set(&o.ExchangeTimeout, DefaultExchangeTimeout)
	defaults.Set(&o.Delegates, DefaultDelegates)
	defaults.Set(&o.HostListInterval, DefaultHostListInterval)
	defaults.Set(&o.GoneAfter, DefaultGoneAfter)
	defaults.Set(&o.GoneRetention, DefaultGoneRetention)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}
