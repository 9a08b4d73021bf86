package limits

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

// Options are the parts and numbers of a Service. Zero numbers are replaced by the
// defaults below.
type Options struct {
	Transport  peer.Transport
	Membership membership.View
	Config     config.View
	// Metrics is where counters are registered; nil for a set of its own.
	Metrics *metrics.Set
	Logger  zerolog.Logger

	// ReportInterval is the interval of reports of organisations that press against
	// their share, SlowReportInterval that of others in use.
	ReportInterval     time.Duration
	SlowReportInterval time.Duration
	// Settle is how long a new owner waits for the nodes' first reports before it
	// shares by demand.
	SettleTime time.Duration
	// Keep is how long a node keeps a share when it can't reach the owner. Owners
	// count a share for Keep and two SlowReportInterval after a node's last report.
	ShareRetention time.Duration
	// IdleTimeout is how long an organisation must be unused at a node before the node
	// gives its share back, EvictAfter before it forgets the organisation.
	IdleTimeout time.Duration
	EvictAfter  time.Duration
	// Patience bounds the wait of a request for an immediate answer of the owner.
	OwnerWaitTimeout time.Duration
	// Cooldown is the least time between such calls when the owner had no more.
	Cooldown time.Duration
	// CallTimeout bounds a call to an owner.
	CallTimeout time.Duration
	// RetryAfter is what callers over the limit on requests are told.
	RetryAfter time.Duration
	// Rotate is the interval at which shares that are too few for all nodes go on to
	// others.
	RotationInterval time.Duration
}

// The defaults of Options.
const (
	DefaultReportInterval     = time.Second
	DefaultSlowReportInterval = 8 * time.Second
	DefaultSettleTime         = 3 * time.Second
	DefaultShareRetention     = 20 * time.Second
	DefaultIdleTimeout        = 10 * time.Second
	DefaultEvictAfter         = 2 * time.Minute
	DefaultOwnerWaitTimeout   = 250 * time.Millisecond
	DefaultCooldown           = 100 * time.Millisecond
	DefaultCallTimeout        = time.Second
	DefaultRetryAfter         = time.Second
	DefaultRotationInterval   = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.ReportInterval, DefaultReportInterval)
	defaults.Set(&o.SlowReportInterval, DefaultSlowReportInterval)
	defaults.Set(&o.SettleTime, DefaultSettleTime)
	defaults.Set(&o.ShareRetention, DefaultShareRetention)
	defaults.Set(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&o.EvictAfter, DefaultEvictAfter)
	defaults.Set(&o.OwnerWaitTimeout, DefaultOwnerWaitTimeout)
	defaults.Set(&o.Cooldown, DefaultCooldown)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.RetryAfter, DefaultRetryAfter)
	defaults.Set(&o.RotationInterval, DefaultRotationInterval)
	return o
}
