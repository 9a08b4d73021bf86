package budget

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options limit a node's calls. Zero values mean the defaults.
type Options struct {
	// BackgroundPerSecond and BackgroundBurst limit the calls that nobody waits for
	// (20, 40).
	BackgroundPerSecond float64
	BackgroundBurst     int
	// UrgentPerSecond and UrgentBurst limit the calls for edits and leases (100, 100).
	UrgentPerSecond float64
	UrgentBurst     int
	// BackoffMin and BackoffMax limit the time between attempts in an outage
	// (250 ms, 10 s). The time is chosen at random between zero and a bound that
	// starts at BackoffMin and doubles up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// Metrics receives the package's metrics; nil for none.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.BackgroundPerSecond, 20)
	defaults.Set(&o.BackgroundBurst, 40)
	defaults.Set(&o.UrgentPerSecond, 100)
	defaults.Set(&o.UrgentBurst, 100)
	defaults.Set(&o.BackoffMin, 250*time.Millisecond)
	defaults.Set(&o.BackoffMax, 10*time.Second)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}
