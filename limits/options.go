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

// Options configures a Service. Zero values are replaced by the defaults below.
type Options struct {
	Transport  peer.Transport
	Membership membership.View
	Config     config.View
	// Metrics is the set in which counters are registered; nil means a new set.
	Metrics *metrics.Set
	Logger  zerolog.Logger

	// ReportInterval is the report interval of organisations under pressure,
	// SlowReportInterval that of other organisations in use.
	ReportInterval     time.Duration
	SlowReportInterval time.Duration
	// SettleTime is how long a new owner waits for the nodes' first reports before it
	// allocates by demand.
	SettleTime time.Duration
	// ShareRetention is how long a node keeps a share when it can't reach the owner.
	// Owners count a share for ShareRetention and two SlowReportInterval after a
	// node's last report.
	ShareRetention time.Duration
	// IdleTimeout is how long an organisation must be unused at a node before the
	// node returns its share, EvictAfter before the node evicts the organisation.
	IdleTimeout time.Duration
	EvictAfter  time.Duration
	// OwnerWaitTimeout bounds a request's wait for the owner's reply.
	OwnerWaitTimeout time.Duration
	// Cooldown is the minimum time between immediate reports when the owner had
	// nothing left to allocate.
	Cooldown time.Duration
	// CallTimeout bounds a call to an owner.
	CallTimeout time.Duration
	// RetryAfter is the delay recommended to callers over the limit on requests.
	RetryAfter time.Duration
	// RotationInterval is the interval at which shares that are too few for all nodes
	// move to other nodes.
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
