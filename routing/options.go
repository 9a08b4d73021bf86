package routing

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options are the numbers of a Router. Zero values are replaced by the defaults
// below; negative ones switch off what can be switched off.
type Options struct {
	// Prior is the speed assumed of hardware of which nothing is known, Priors that
	// of hardware generations by name.
	Prior  Speed
	Priors map[string]Speed
	// LearnRate is the part by which each sample moves a learned speed.
	LearnRate float64
	// RequestOverheadTokens is the work that a request is taken for beyond its tokens; it
	// stands for the queue of plain services too.
	RequestOverheadTokens int
	// TokenInterval bounds the batch of an engine: it is saturated where its
	// learned time between tokens would exceed both this and twice that of a batch
	// of one. Negative for no bound.
	TokenInterval time.Duration
	// PrefillWeight is how much computing a prompt counts beyond the time that the
	// ask itself waits for it, because it delays the other requests there. Negative
	// for not at all.
	PrefillWeight float64
	// TieMargin is the part of the best cost within which candidates count as equal.
	TieMargin float64
	// HoldRatio keeps an ask waiting for a better endpoint that has no room now, if
	// the best one that has would take so many times as long as the better one,
	// its wait included. Below 1 for never.
	HoldRatio float64
	// PrefixBlocks bounds the prompt blocks remembered for an endpoint.
	PrefixBlocks int
	// EvictionLag is how old a cache event may be: an eviction does not count for
	// a block that was dispatched more recently.
	EvictionLag time.Duration
	// Sessions bounds the sessions remembered, SessionTTL for how long.
	MaxSessions int
	SessionTTL  time.Duration
	// StragglerRatio is how many times as long as its hardware generation an
	// endpoint must take to be a straggler.
	StragglerRatio float64
	// ProbeInterval is the time without a sample after which a straggler is tried again.
	ProbeInterval time.Duration
	// Silence is how long an endpoint may hold prompts without any progress being
	// heard of, beyond three times the time expected for them.
	StallTimeout time.Duration
	// InitialEjection is the time out of service after a failure; it doubles with each
	// further one up to MaxEjection.
	InitialEjection time.Duration
	MaxEjection     time.Duration
	// MaxEjectedFraction is the part of a pool group's endpoints that crashes may take out of
	// service at a time; the rest is tried by single requests instead.
	MaxEjectedFraction float64
	// ProbeTimeout is how long a single request may be out before another is tried.
	ProbeTimeout time.Duration
	// MaxReportAge is the age up to which a load report is used.
	MaxReportAge time.Duration
	// ReportWeight is the part that a load report counts.
	ReportWeight float64
	// MinForecastSamples is the number of samples below which nothing is forecast.
	MinForecastSamples int
	// Quarantine remembers contents that crash endpoints; nil for none.
	Quarantine Quarantine
	// Metrics is where counters are registered; nil for a set of its own.
	Metrics *metrics.Set
}

// The defaults of Options.
const (
	DefaultLearnRate             = 0.05
	DefaultRequestOverheadTokens = 16
	DefaultTokenInterval         = 62 * time.Millisecond
	DefaultPrefillWeight         = 2.0
	DefaultTieMargin             = 0.01
	DefaultHoldRatio             = 1.3
	DefaultPrefixBlocks          = 4096
	DefaultEvictionLag           = 3 * time.Second
	DefaultMaxSessions           = 8192
	DefaultSessionTTL            = 10 * time.Minute
	DefaultStragglerRatio        = 1.8
	DefaultProbeInterval         = 5 * time.Second
	DefaultStallTimeout          = 6 * time.Second
	DefaultInitialEjection       = time.Second
	DefaultMaxEjection           = time.Minute
	DefaultMaxEjectedFraction    = 0.5
	DefaultProbeTimeout          = 30 * time.Second
	DefaultMaxReportAge          = 3 * time.Second
	DefaultReportWeight          = 0.25
	DefaultMinForecastSamples    = 8
)

// DefaultPrior is the speed of hardware of which nothing is known.
var DefaultPrior = Speed{
	FirstToken: LinearModel{Base: 0.02, Slope: 100e-6},
	Interval:   LinearModel{Base: 0.02, Slope: 0.5e-3},
}

// WithDefaults returns the options with every zero replaced.
func (o Options) WithDefaults() Options {
	if o.Prior == (Speed{}) {
		o.Prior = DefaultPrior
	}
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.LearnRate, DefaultLearnRate)
	defaults.Set(&o.RequestOverheadTokens, DefaultRequestOverheadTokens)
	defaults.Set(&o.TokenInterval, DefaultTokenInterval)
	defaults.Set(&o.PrefillWeight, DefaultPrefillWeight)
	o.PrefillWeight = max(o.PrefillWeight, 0)
	defaults.Set(&o.TieMargin, DefaultTieMargin)
	defaults.Set(&o.HoldRatio, DefaultHoldRatio)
	defaults.Set(&o.PrefixBlocks, DefaultPrefixBlocks)
	defaults.Set(&o.EvictionLag, DefaultEvictionLag)
	defaults.Set(&o.MaxSessions, DefaultMaxSessions)
	defaults.Set(&o.SessionTTL, DefaultSessionTTL)
	defaults.Set(&o.StragglerRatio, DefaultStragglerRatio)
	defaults.Set(&o.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&o.StallTimeout, DefaultStallTimeout)
	defaults.Set(&o.InitialEjection, DefaultInitialEjection)
	defaults.Set(&o.MaxEjection, DefaultMaxEjection)
	defaults.Set(&o.MaxEjectedFraction, DefaultMaxEjectedFraction)
	defaults.Set(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&o.MaxReportAge, DefaultMaxReportAge)
	defaults.Set(&o.ReportWeight, DefaultReportWeight)
	defaults.Set(&o.MinForecastSamples, DefaultMinForecastSamples)
	return o
}
