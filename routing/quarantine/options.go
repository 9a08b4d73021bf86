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
	First time.Duration
	Most  time.Duration
	// Memory is how long a crash is remembered.
	Memory time.Duration
	// Threshold is the score from which a content is quarantined: a first crash of an endpoint counts 2, each further one
	// 1, and 2 more where the content was alone.
	Threshold int
	// Contents bounds the contents remembered; the oldest evidence goes first.
	Contents int
	// Flush is how long new evidence is gathered before it is sent.
	Flush time.Duration
	// PullEvery is the interval at which one peer, each in turn, is asked whether it
	// knows more.
	PullEvery time.Duration
	// CallTimeout bounds such a question.
	CallTimeout time.Duration
}

// The defaults of Options.
const (
	DefaultFirst       = 2 * time.Minute
	DefaultMost        = 30 * time.Minute
	DefaultMemory      = time.Hour
	DefaultThreshold   = 4
	DefaultContents    = 1024
	DefaultFlush       = 50 * time.Millisecond
	DefaultPullEvery   = 30 * time.Second
	DefaultCallTimeout = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.First, DefaultFirst)
	defaults.Set(&o.Most, DefaultMost)
	defaults.Set(&o.Memory, DefaultMemory)
	defaults.Set(&o.Threshold, DefaultThreshold)
	defaults.Set(&o.Contents, DefaultContents)
	defaults.Set(&o.Flush, DefaultFlush)
	defaults.Set(&o.PullEvery, DefaultPullEvery)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	return o
}
