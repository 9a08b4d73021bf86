package quarantine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

// Options are the parts and numbers of a Service. Zero numbers are replaced by the
// defaults below.
type Options struct {
	Transport  peer.Transport
	Membership membership.View
	// Metrics is where counters are registered; nil for a set of its own.
	Metrics *metrics.Set
	Logger  zerolog.Logger

	// First is the length of a content's first quarantine, Most the longest.
	InitialDuration time.Duration
	MaxDuration     time.Duration
	// Memory is how long a crash is remembered.
	Retention time.Duration
	// Threshold is the score from which a content is quarantined: a first crash of an endpoint counts 2, each further one
	// 1, and 2 more where the content was alone.
	Threshold int
	// Contents bounds the contents remembered; the oldest evidence goes first.
	MaxContents int
	// Flush is how long new evidence is gathered before it is sent.
	FlushDelay time.Duration
	// PullInterval is the interval at which one peer, each in turn, is asked whether it
	// knows more.
	PullInterval time.Duration
	// CallTimeout bounds such a question.
	CallTimeout time.Duration
}

// The defaults of Options.
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
