package coordinator

import (
	"time"

	"golang.org/x/time/rate"
)

// LoadBudget limits the loads of models, each of which fetches weights from the
// weight store.
type LoadBudget interface {
	// Take reports whether the weights of the model may be fetched now, and charges
	// the budget if so.
	Take(now time.Time, model string) bool
}

// LoadRateLimit is a LoadBudget of a number of loads a minute. All groups led by a
// node share it; the total rate of the weight store is divided by the number of
// groups.
type LoadRateLimit struct{ limiter *rate.Limiter }

var _ LoadBudget = (*LoadRateLimit)(nil)

// NewLoadRateLimit returns a limit of loads a minute that allows a burst of the
// given size.
func NewLoadRateLimit(perMinute float64, burst int) *LoadRateLimit {
	return &LoadRateLimit{rate.NewLimiter(rate.Limit(perMinute/60), burst)}
}

// Take implements LoadBudget.
func (l *LoadRateLimit) Take(now time.Time, _ string) bool { return l.limiter.AllowN(now, 1) }
