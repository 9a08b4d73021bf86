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

	// ReportEvery is the interval of reports of organisations that press against
	// their share, QuietEvery that of others in use.
	ReportEvery time.Duration
	QuietEvery  time.Duration
	// Settle is how long a new owner waits for the nodes' first reports before it
	// shares by demand.
	Settle time.Duration
	// Keep is how long a node keeps a share when it can't reach the owner. Owners
	// count a share for Keep and two QuietEvery after a node's last report.
	Keep time.Duration
	// IdleAfter is how long an organisation must be unused at a node before the node
	// gives its share back, ForgetAfter before it forgets the organisation.
	IdleAfter   time.Duration
	ForgetAfter time.Duration
	// Patience bounds the wait of a request for an immediate answer of the owner.
	Patience time.Duration
	// Cooldown is the least time between such calls when the owner had no more.
	Cooldown time.Duration
	// CallTimeout bounds a call to an owner.
	CallTimeout time.Duration
	// RetryAfter is what callers over the limit on requests are told.
	RetryAfter time.Duration
	// Rotate is the interval at which shares that are too few for all nodes go on to
	// others.
	Rotate time.Duration
}

// The defaults of Options.
const (
	DefaultReportEvery = time.Second
	DefaultQuietEvery  = 8 * time.Second
	DefaultSettle      = 3 * time.Second
	DefaultKeep        = 20 * time.Second
	DefaultIdleAfter   = 10 * time.Second
	DefaultForgetAfter = 2 * time.Minute
	DefaultPatience    = 250 * time.Millisecond
	DefaultCooldown    = 100 * time.Millisecond
	DefaultCallTimeout = time.Second
	DefaultRetryAfter  = time.Second
	DefaultRotate      = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.ReportEvery, DefaultReportEvery)
	defaults.Set(&o.QuietEvery, DefaultQuietEvery)
	defaults.Set(&o.Settle, DefaultSettle)
	defaults.Set(&o.Keep, DefaultKeep)
	defaults.Set(&o.IdleAfter, DefaultIdleAfter)
	defaults.Set(&o.ForgetAfter, DefaultForgetAfter)
	defaults.Set(&o.Patience, DefaultPatience)
	defaults.Set(&o.Cooldown, DefaultCooldown)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.RetryAfter, DefaultRetryAfter)
	defaults.Set(&o.Rotate, DefaultRotate)
	return o
}
