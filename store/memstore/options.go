package memstore

import (
	"time"

	"golang.org/x/time/rate"
)

// Options are the limits of a Store. The zero value has none.
type Options struct {
	// WritesPerSecond and ReadsPerSecond bound the calls of all clients together;
	// zero for no bound. A call over the bound is refused without effect. Leases
	// count as writes, watches as one read each.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// History is for how long overwritten values can still be read by the fault
	// "old value read". The default is one minute.
	HistoryRetention time.Duration
}

const defaultHistory = time.Minute

func (o Options) withDefaults() Options {
	if o.HistoryRetention == 0 {
		o.HistoryRetention = defaultHistory
	}
	return o
}

// limiter returns nil for no bound. A second's worth of calls may come at once.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
