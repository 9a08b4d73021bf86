package coordinator

import (
	"time"

	"golang.org/x/time/rate"
)

// LoadBudget is the budget of the weight store: each load takes its weights from it.
type LoadBudget interface {
	// Take reports whether the model may be fetched now, and counts it if so.
	Take(now time.Time, model string) bool
}

// LoadRateLimit is a Weights of so many loads a minute. All groups led by a node
// share it; the store's whole rate is divided by the number of groups.
type LoadRateLimit struct{ limiter *rate.Limiter }

var _ LoadBudget = (*LoadRateLimit)(nil)

// NewLoadRateLimit returns a budget of loads a minute, of which burst may be at once.
func NewLoadRateLimit(perMinute float64, burst int) *LoadRateLimit {
	return &LoadRateLimit{rate.NewLimiter(rate.Limit(perMinute/60), burst)}
}

// Take implements Weights.
func (w *LoadRateLimit) Take(now time.Time, _ string) bool { return w.limiter.AllowN(now, 1) }
