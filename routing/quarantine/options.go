package quarantine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

// Options configures a Service. Zero values are replaced by the defaults below.
type Options struct {
	Transport  peer.Transport
	Membership membership.View
	// Metrics is the set in which metrics are registered; nil for a private set.
	Metrics *metrics.Set
	Logger  zerolog.Logger

	// InitialDuration is the length of a content's first quarantine, MaxDuration the maximum.
	InitialDuration time.Duration
	MaxDuration     time.Duration
	// Retention is how long a crash is remembered.
	Retention time.Duration
	// Threshold is the score from which a content is quarantined: the first crash of an endpoint
	// counts 2, each further one 1, and 2 more if the content was the only one running.
	Threshold int
	// MaxContents limits the number of contents tracked; those with the oldest evidence are evicted.
	MaxContents int
	// FlushDelay is how long new evidence is batched before it is sent.
	FlushDelay time.Duration
	// PullInterval is the interval at which evidence is pulled from one peer, in round-robin order.
	PullInterval time.Duration
	// CallTimeout is the timeout of such a pull.
	CallTimeout time.Duration
}

// Default values of Options.
const (
	DefaultInitialDuration = 2 * time.Minute
	DefaultMaxDuration     = 30 * time.Minute
	DefaultRetention       = time.Hour
	DefaultThreshold       = 4
	DefaultMaxContents     = 1024
	DefaultFlushDelay      = 50 * time.Millisecond
	DefaultPullInterval    = 30 * time.Second
	DefaultCallTimeout     = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.InitialDuration, DefaultInitialDuration)
	defaults.Set(&o.MaxDuration, DefaultMaxDuration)
	defaults.Set(&o.Retention, DefaultRetention)
	defaults.Set(&o.Threshold, DefaultThreshold)
	defaults.Set(&o.MaxContents, DefaultMaxContents)
	defaults.Set(&o.FlushDelay, DefaultFlushDelay)
	defaults.Set(&o.PullInterval, DefaultPullInterval)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	return o
}
