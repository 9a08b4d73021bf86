package memstore

import (
	"time"

	"golang.org/x/time/rate"
)

// Options configure a Store. The zero value sets no rate limits.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the calls of all clients together;
	// zero for no limit. A call over the limit is refused without effect. Lease calls
	// count as writes, watches as one read each.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// HistoryRetention is how long overwritten values remain available for stale
	// reads (Fault.Staleness). The default is one minute.
	HistoryRetention time.Duration
}

const defaultHistoryRetention = time.Minute

func (o Options) withDefaults() Options {
	if o.HistoryRetention == 0 {
		o.HistoryRetention = defaultHistoryRetention
	}
	return o
}

// newLimiter returns nil for no limit. Its burst is the number of calls allowed in one
// second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
