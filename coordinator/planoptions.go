package coordinator

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// PlanOptions are the numbers of a Planner. Zero values mean the defaults.
type PlanOptions struct {
	// ModelsPerEngine bounds the models that the planner puts on one engine (1).
	ModelsPerEngine int
	// ScaleUpWaiting asks waiting for each ready runner of the data centre press for
	// one more, when that lasts for ScaleUpDelay (2, 30 s).
	ScaleUpWaiting int
	ScaleUpDelay   time.Duration
	// A data centre has a runner to spare when nothing waits and the others would
	// have no more than ScaleDownTokens each, for ScaleDownDelay (2,000, 10 min).
	ScaleDownTokens int
	ScaleDownDelay  time.Duration
	// ChangeInterval is the least time between two changes of one model (1 min).
	ChangeInterval time.Duration
	// LoadTimeout is how long an engine may fail to begin a load before another is
	// tried, and for how long it is avoided then (10 min).
	LoadTimeout time.Duration
	// MaxConcurrentLoads bounds the engines of a group that load at a time (4).
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
