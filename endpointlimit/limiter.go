package endpointlimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

const (
	// reportFor is how long a node reports an advertisement to its peers after receiving it from the endpoint.
	reportFor = 5 * time.Second
	// expireAfter is how long a limit is kept without a further advertisement, received here or reported by a peer.
	expireAfter = 30 * time.Second
	// shareInterval is the time between computations of a node's share, since nodes join and leave.
	shareInterval = 500 * time.Millisecond
)

// Config is a Limiter's configuration and dependencies.
type Config struct {
	Self  domain.NodeID
	Clock boottime.Clock
	// Members returns all nodes that may be alive, this one included.
	Members   func() []domain.Member
	Directory *directory.Directory
	Log       zerolog.Logger
	Metrics   *metrics.Set
}

// Limiter enforces the endpoints' limits on this node's requests. It is safe for concurrent use.
type Limiter struct {
	config Config
	// limitCount is len(limits), read without the lock: most of the time there are no limits.
	limitCount atomic.Int64

	mu     sync.Mutex
	limits map[domain.EndpointID]*limit

	invalid *metrics.Counter
}

// New returns a limiter that knows of no limit, and registers its metrics.
func New(config Config) *Limiter {
	l := &Limiter{
		config:  config,
		limits:  make(map[domain.EndpointID]*limit),
		invalid: config.Metrics.NewCounter("hawthornrill_endpoint_limits_unreadable_total"),
	}
	config.Metrics.NewGauge("hawthornrill_endpoint_limits", func() float64 { return float64(l.countInForce()) })
	return l
}

// RecordAdvertisement records the limit in an endpoint's response. Sent is when the request was sent: a response to a request
// that was sent before the latest advertisement may predate that, and then does not begin or end the limit.
func (l *Limiter) RecordAdvertisement(id domain.EndpointID, sent boottime.Instant, a Advertisement) {
	switch {
	case a.Kind == Invalid:
		l.invalid.Inc()
		l.config.Log.Warn().Str("endpoint", string(id)).Msg("malformed limit in an endpoint's response, the known one stays in force")
		return
	case a.Kind == None && l.limitCount.Load() == 0:
		return
	}
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.limits[id]
	ended := a.Kind == None
	if !ok && ended || ok && known.ended != ended && sent < known.advertisedAt {
		return
	}
	reported := gossip.EndpointLimit{Endpoint: id, PerSecond: a.PerSecond, Ended: ended}
	l.set(now, reported, "answer").receivedAt = now
}

// Bars reports whether this node has no share of the endpoint's limit and so must not send it requests.
func (l *Limiter) Bars(e *directory.Endpoint) bool {
	known, ok := l.inForceAt(e)
	return ok && known.bucket.rate == 0
}

// Allows reports whether this node may send the endpoint another request now.
func (l *Limiter) Allows(e *directory.Endpoint) bool {
	known, ok := l.inForceAt(e)
	return !ok || known.bucket.rate > 0 && known.bucket.tokens >= 1
}

// inForceAt returns a copy of the limit in force at the endpoint, false if there is none.
func (l *Limiter) inForceAt(e *directory.Endpoint) (limit, bool) {
	if l.limitCount.Load() == 0 {
		return limit{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.refilled(e)
	if known == nil {
		return limit{}, false
	}
	return *known, true
}

// Take takes a token for a request sent to the endpoint, and returns the endpoint's limit in requests a second, zero if there
// is none.
func (l *Limiter) Take(e *directory.Endpoint) (perSecond float64) {
	if l.limitCount.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.refilled(e)
	if known == nil {
		return 0
	}
	known.bucket.tokens--
	return known.perSecond
}

// refilled returns the limit in force at the endpoint with its bucket refilled, nil if there is none. The lock is held.
func (l *Limiter) refilled(e *directory.Endpoint) *limit {
	known, ok := l.limits[e.Incarnation()]
	if !ok || known.ended {
		return nil
	}
	now := l.config.Clock()
	rate := known.bucket.rate
	if known.shareComputedAt == 0 || now.Sub(known.shareComputedAt) >= shareInterval {
		rate = share(l.config.Self, e, known.perSecond, l.config.Members(), l.config.Directory.Current())
		known.shareComputedAt = now
	}
	known.bucket.refill(now, rate)
	return known
}

// set records an advertisement and logs a change of the limit. The lock is held.
func (l *Limiter) set(now boottime.Instant, reported gossip.EndpointLimit, from string) *limit {
	known, ok := l.limits[reported.Endpoint]
	if !ok {
		l.expire(now)
		known = &limit{ended: true}
		l.limits[reported.Endpoint] = known
		l.limitCount.Store(int64(len(l.limits)))
	}
	if !known.matches(reported) {
		l.config.Log.Info().Str("endpoint", string(reported.Endpoint)).Float64("per_second", reported.PerSecond).
			Bool("ended", reported.Ended).Float64("per_second_before", known.perSecond).Str("from", from).Int64("age_ms", reported.AgeMillis).
			Msg("endpoint limit changed")
		known.shareComputedAt = 0 // forces the share to be recomputed
		if known.ended {
			known.bucket = newBucket(now)
		}
	}
	known.perSecond, known.ended, known.advertisedAt = reported.PerSecond, reported.Ended, advertisedAt(now, reported)
	return known
}

// advertisedAt is when the endpoint made the reported advertisement.
func advertisedAt(now boottime.Instant, reported gossip.EndpointLimit) boottime.Instant {
	return now.Add(-time.Duration(reported.AgeMillis) * time.Millisecond)
}

// AddToReport adds the advertisements that this node recently received to a report.
func (l *Limiter) AddToReport(report *gossip.Report) {
	if l.limitCount.Load() == 0 {
		return
	}
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	for id, known := range l.limits {
		age := now.Sub(known.receivedAt)
		if known.receivedAt == 0 || age > reportFor {
			continue
		}
		report.Limits = append(report.Limits, gossip.EndpointLimit{
			Endpoint: id, PerSecond: known.perSecond, Ended: known.ended, AgeMillis: age.Milliseconds(),
		})
	}
}

// ApplyReport records the advertisements in a peer's report, unless a later one is known.
func (l *Limiter) ApplyReport(report *gossip.Report) {
	if len(report.Limits) == 0 {
		return
	}
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, reported := range report.Limits {
		known, ok := l.limits[reported.Endpoint]
		if !valid(reported) || !ok && reported.Ended || ok && advertisedAt(now, reported) <= known.advertisedAt {
			continue
		}
		l.set(now, reported, string(report.From))
	}
}

// valid reports whether a reported limit has usable values.
func valid(reported gossip.EndpointLimit) bool {
	return reported.AgeMillis >= 0 && reported.PerSecond >= 0 && !math.IsInf(reported.PerSecond, 0) && !math.IsNaN(reported.PerSecond)
}

// expire removes limits that have not been advertised for expireAfter. The lock is held.
func (l *Limiter) expire(now boottime.Instant) {
	for id, known := range l.limits {
		if now.Sub(known.advertisedAt) <= expireAfter {
			continue
		}
		delete(l.limits, id)
		if !known.ended {
			l.config.Log.Info().Str("endpoint", string(id)).Float64("per_second", known.perSecond).
				Dur("age_ms", now.Sub(known.advertisedAt)).Msg("endpoint limit not stated again, forgotten")
		}
	}
	l.limitCount.Store(int64(len(l.limits)))
}

// countInForce returns the number of limits in force.
func (l *Limiter) countInForce() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, known := range l.limits {
		if !known.ended {
			n++
		}
	}
	return n
}
