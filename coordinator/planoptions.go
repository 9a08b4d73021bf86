package coordinator

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// PlanOptions are the settings of a Planner. Zero values mean the defaults.
type PlanOptions struct {
	// ModelsPerEngine bounds the models that the planner puts on one engine (1).
	ModelsPerEngine int
	// A data centre gets one more replica of a model when ScaleUpWaiting requests
	// wait for each ready replica there, for ScaleUpDelay (2, 30 s).
	ScaleUpWaiting int
	ScaleUpDelay   time.Duration
	// A data centre has a replica to spare when no request waits and the remaining
	// replicas would have at most ScaleDownTokens reserved tokens each, for
	// ScaleDownDelay (2,000, 10 min).
	ScaleDownTokens int
	ScaleDownDelay  time.Duration
	// ChangeInterval is the minimum time between two changes of one model (1 min).
	ChangeInterval time.Duration
	// LoadTimeout is how long an engine may fail to begin a load before another
	// engine is tried, and for how long it is avoided after that (10 min).
	LoadTimeout time.Duration
	// MaxConcurrentLoads bounds the loads in progress at a time in a group (4).
	MaxConcurrentLoads int
}

func (o PlanOptions) withDefaults() PlanOptions {
	defaults.Set(&o.ModelsPerEngine, 1)
	defaults.Set(&o.ScaleUpWaiting, 2)
	defaults.Set(&o.ScaleUpDelay, 30*time.Second)
	defaults.Set(&o.ScaleDownTokens, 2000)
	defaults.Set(&o.ScaleDownDelay, 10*time.Minute)
	defaults.Set(&o.ChangeInterval, time.Minute)
	defaults.Set(&o.LoadTimeout, 10*time.Minute)
	defaults.Set(&o.MaxConcurrentLoads, 4)
	return o
}
