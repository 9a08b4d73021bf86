package coordinator

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// PlanOptions are the numbers of a Planner. Zero values mean the defaults.
type PlanOptions struct {
	// ModelsPerEngine bounds the models that the planner puts on one engine (1).
	ModelsPerEngine int
	// PressWaiting asks waiting for each ready runner of the data centre press for
	// one more, when that lasts for PressFor (2, 30 s).
	PressWaiting int
	PressFor     time.Duration
	// A data centre has a runner to spare when nothing waits and the others would
	// have no more than IdleTokens each, for IdleFor (2,000, 10 min).
	IdleTokens int
	IdleFor    time.Duration
	// ChangeEvery is the least time between two changes of one model (1 min).
	ChangeEvery time.Duration
	// LoadPatience is how long an engine may fail to begin a load before another is
	// tried, and for how long it is avoided then (10 min).
	LoadPatience time.Duration
	// MaxLoading bounds the engines of a group that load at a time (4).
	MaxLoading int
}

func (o PlanOptions) withDefaults() PlanOptions {
	defaults.Set(&o.ModelsPerEngine, 1)
	defaults.Set(&o.PressWaiting, 2)
	defaults.Set(&o.PressFor, 30*time.Second)
	defaults.Set(&o.IdleTokens, 2000)
	defaults.Set(&o.IdleFor, 10*time.Minute)
	defaults.Set(&o.ChangeEvery, time.Minute)
	defaults.Set(&o.LoadPatience, 10*time.Minute)
	defaults.Set(&o.MaxLoading, 4)
	return o
}
