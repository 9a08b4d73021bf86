package routing

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options configures a Router. Zero values are replaced by the defaults below; negative values disable
// features that can be disabled.
type Options struct {
	// Prior is the assumed speed of unknown hardware; Priors are the assumed speeds of known hardware
	// generations, by name.
	Prior  Speed
	Priors map[string]Speed
	// LearnRate is the weight of a new sample in a learned speed.
	LearnRate float64
	// RequestOverheadTokens is the work attributed to each request in addition to its tokens. For
	// services without tokens it represents the request queue.
	RequestOverheadTokens int
	// TokenInterval limits the batch size of an engine: the engine is saturated when its predicted
	// time between tokens exceeds both this value and twice that of a batch of one. Negative means no
	// limit.
	TokenInterval time.Duration
	// PrefillWeight is the weight of prefill time in the cost, on top of the request's own latency,
	// since prefill delays the other requests on the endpoint. Negative disables it.
	PrefillWeight float64
	// TieMargin is the fraction of the lowest cost within which candidates are considered equal.
	TieMargin float64
	// HoldRatio holds a request back for a faster endpoint without free capacity if the best available
	// endpoint would take more than this many times as long as the faster one including the wait for
	// it. Values below 1 disable it.
	HoldRatio float64
	// PrefixBlocks limits the number of prompt blocks tracked for each endpoint.
	PrefixBlocks int
	// EvictionLag is the maximum delay of cache events. Evictions of blocks dispatched more recently
	// are ignored.
	EvictionLag time.Duration
	// MaxSessions limits the number of sessions tracked, SessionTTL the time for which they are.
	MaxSessions int
	SessionTTL  time.Duration
	// StragglerRatio is the latency relative to the hardware generation from which an endpoint is a
	// straggler.
	StragglerRatio float64
	// ProbeInterval is the time without a sample after which a straggler is probed.
	ProbeInterval time.Duration
	// StallTimeout is how long an endpoint may hold prompts without reported progress, in addition to
	// three times their expected duration.
	StallTimeout time.Duration
	// InitialEjection is the ejection time after the first failure; it doubles with each further
	// failure up to MaxEjection.
	InitialEjection time.Duration
	MaxEjection     time.Duration
	// MaxEjectedFraction is the fraction of a pool group's endpoints that may be ejected at a time;
	// beyond it, failed endpoints are probed by single requests instead.
	MaxEjectedFraction float64
	// ProbeTimeout is the time after which an unanswered probe may be followed by another.
	ProbeTimeout time.Duration
	// MaxReportAge is the age up to which a load report is used.
	MaxReportAge time.Duration
	// ReportWeight is the weight of load that is reported but was not granted by this owner.
	ReportWeight float64
	// MinForecastSamples is the number of samples below which no forecast is made.
	MinForecastSamples int
	// Quarantine tracks contents that crash endpoints; nil for none.
	Quarantine Quarantine
	// Metrics is the set in which counters are registered; nil for a private set.
	Metrics *metrics.Set
}

// Default values of Options.
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

// DefaultPrior is the assumed speed of unknown hardware.
var DefaultPrior = Speed{
	FirstToken: LinearModel{Base: 0.02, Slope: 100e-6},
	Interval:   LinearModel{Base: 0.02, Slope: 0.5e-3},
}

// WithDefaults returns the options with zero values replaced by the defaults.
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
