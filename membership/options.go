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
	// DefaultProbeInterval is how often a node probes one peer of its data centre.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultProbeTimeout is how long a direct ping may take.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspicionTimeout is how long a suspect has to answer or refute.
	DefaultSuspicionTimeout = 1200 * time.Millisecond
	// DefaultRelays is how many others are asked to ping a peer that did not answer.
	DefaultRelays = 3
	// DefaultExchangeInterval is how often a delegate contacts its data centre.
	DefaultExchangeInterval = 3 * time.Second
	// DefaultExchangeTimeout is how long one attempt of it may take.
	DefaultExchangeTimeout = time.Second
	// DefaultDelegates is how many nodes of a data centre contact each other one.
	DefaultDelegates = 2
	// DefaultHostListInterval is how often the list's delegates read the host list.
	DefaultHostListInterval = 5 * time.Second
	// DefaultGoneAfter is how long a node must be both unreachable and off the host
	// list before it is gone.
	DefaultGoneAfter = time.Minute
	// DefaultGoneRetention is how long a life that is gone is remembered.
	DefaultGoneRetention = time.Hour
)

// Options configure a Service. Zero values get defaults.
type Options struct {
	// Transport carries the messages. Its Self is this node.
	Transport peer.Transport
	// List is the platform's host list; nil for none.
	HostList hostlist.List
	// Seeds are peers to begin with, from the settings. Their states are ignored.
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

	// RandomSeed makes the choice of targets repeatable; 0 for a random one.
	RandomSeed uint64
	Logger     zerolog.Logger
	// Metrics gets the service's metrics; nil for a set of its own.
	Metrics *metrics.Set
}

// withDefaults fills in what is zero.
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
