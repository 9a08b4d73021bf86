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
	// tellFor is how long a statement is told to the other nodes after the endpoint made it to this one.
	tellFor = 5 * time.Second
	// forgetAfter is how long a limit is kept that the endpoint has not stated again to any node heard.
	forgetAfter = 30 * time.Second
	// shareEvery is how often a node's share is worked out anew, since nodes come and go.
	shareEvery = 500 * time.Millisecond
)

// Config are what a Limiter works with.
type Config struct {
	Self  domain.NodeID
	Clock boottime.Clock
	// Members are all nodes that may be alive, this one included.
	Members func() []domain.Member
	// Directory lists the endpoints.
	Directory *directory.Directory
	Log       zerolog.Logger
	Metrics   *metrics.Set
}

// Limiter keeps the endpoints' limits. It is safe for concurrent use.
type Limiter struct {
	parts Config
	// known is the number of entries, read without the lock: most of the time there is none.
	known atomic.Int64

	mu     sync.Mutex
	limits map[domain.EndpointID]*limit

	unreadable *metrics.Counter
}

// New returns a limiter that knows of no limit.
func New(parts Config) *Limiter {
	l := &Limiter{
		parts:      parts,
		limits:     make(map[domain.EndpointID]*limit),
		unreadable: parts.Metrics.NewCounter("hawthornrill_endpoint_limits_unreadable_total"),
	}
	parts.Metrics.NewGauge("hawthornrill_endpoint_limits", func() float64 { return float64(l.inForce()) })
	return l
}

// Stated takes what an answer says of its endpoint's limit. Sent is when the request was sent: an answer to one that was
// sent before the latest statement may be older than that, and does not change it.
func (l *Limiter) RecordAdvertisement(id domain.EndpointID, sent boottime.Instant, s Advertisement) {
	switch {
	case s.Kind == Invalid:
		l.unreadable.Inc()
		return
	case s.Kind == None && l.known.Load() == 0:
		return
	}
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.limits[id]
	ended := s.Kind == None
	if !ok && ended || ok && known.ended != ended && sent < known.statedAt {
		return
	}
	told := gossip.EndpointLimit{Endpoint: id, PerSecond: s.PerSecond, Ended: ended}
	l.set(now, told, "answer").ownAt = now
}

// Bars reports whether this node is to send the endpoint nothing, since its limit is other nodes'.
func (l *Limiter) Bars(e *directory.Endpoint) bool {
	known, ok := l.at(e)
	return ok && known.bucket.rate == 0
}

// Allows reports whether this node may send the endpoint one request more now.
func (l *Limiter) Allows(e *directory.Endpoint) bool {
	known, ok := l.at(e)
	return !ok || known.bucket.rate > 0 && known.bucket.level >= 1
}

// at returns a copy of the limit in force at the endpoint, false if there is none.
func (l *Limiter) at(e *directory.Endpoint) (limit, bool) {
	if l.known.Load() == 0 {
		return limit{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.filled(e)
	if known == nil {
		return limit{}, false
	}
	return *known, true
}

// Take counts a request that is sent to the endpoint, and returns the limit in force there in requests a second, zero if
// there is none.
func (l *Limiter) Take(e *directory.Endpoint) (perSecond float64) {
	if l.known.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.filled(e)
	if known == nil {
		return 0
	}
	known.bucket.level--
	return known.perSecond
}

// filled returns the limit in force at the endpoint, brought to the present, nil if there is none. The lock is held.
func (l *Limiter) filled(e *directory.Endpoint) *limit {
	known, ok := l.limits[e.Incarnation()]
	if !ok || known.ended {
		return nil
	}
	now := l.parts.Clock()
	rate := known.bucket.rate
	if known.sharedAt == 0 || now.Sub(known.sharedAt) >= shareEvery {
		rate = share(l.parts.Self, e, known.perSecond, l.parts.Members(), l.parts.Directory.Current())
		known.sharedAt = now
	}
	known.bucket.fill(now, rate)
	return known
}

// set takes a statement over and logs what changes. The lock is held.
func (l *Limiter) set(now boottime.Instant, told gossip.EndpointLimit, from string) *limit {
	known, ok := l.limits[told.Endpoint]
	if !ok {
		l.forget(now)
		known = &limit{ended: true}
		l.limits[told.Endpoint] = known
		l.known.Store(int64(len(l.limits)))
	}
	if !known.equal(told) {
		l.parts.Log.Info().Str("endpoint", string(told.Endpoint)).Float64("per_second", told.PerSecond).Bool("ended", told.Ended).
			Float64("per_second_before", known.perSecond).Str("from", from).Int64("age_ms", told.AgeMillis).
			Msg("endpoint limit changed")
		known.sharedAt = 0 // the share is worked out anew
		if known.ended {
			known.bucket = newBucket(now)
		}
	}
	known.perSecond, known.ended, known.statedAt = told.PerSecond, told.Ended, statedAt(now, told)
	return known
}

// statedAt is when the endpoint stated what is told now.
func statedAt(now boottime.Instant, told gossip.EndpointLimit) boottime.Instant {
	return now.Add(-time.Duration(told.AgeMillis) * time.Millisecond)
}

// Fill adds to a report what endpoints have stated to this node lately.
func (l *Limiter) AddToReport(report *gossip.Report) {
	if l.known.Load() == 0 {
		return
	}
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	for id, known := range l.limits {
		age := now.Sub(known.ownAt)
		if known.ownAt == 0 || age > tellFor {
			continue
		}
		report.Limits = append(report.Limits, gossip.EndpointLimit{
			Endpoint: id, PerSecond: known.perSecond, Ended: known.ended, AgeMillis: age.Milliseconds(),
		})
	}
}

// Heard takes what endpoints have stated to another node, unless something stated later is known.
func (l *Limiter) ApplyReport(report *gossip.Report) {
	if len(report.Limits) == 0 {
		return
	}
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, told := range report.Limits {
		known, ok := l.limits[told.Endpoint]
		if !usable(told) || !ok && told.Ended || ok && statedAt(now, told) <= known.statedAt {
			continue
		}
		l.set(now, told, string(report.From))
	}
}

// usable reports whether a limit told by another node is one.
func usable(told gossip.EndpointLimit) bool {
	return told.AgeMillis >= 0 && told.PerSecond >= 0 && !math.IsInf(told.PerSecond, 0) && !math.IsNaN(told.PerSecond)
}

// forget drops what has not been stated for long. The lock is held.
func (l *Limiter) forget(now boottime.Instant) {
	for id, known := range l.limits {
		if now.Sub(known.statedAt) <= forgetAfter {
			continue
		}
		delete(l.limits, id)
		if !known.ended {
			l.parts.Log.Info().Str("endpoint", string(id)).Float64("per_second", known.perSecond).
				Dur("age_ms", now.Sub(known.statedAt)).Msg("endpoint limit not stated again, forgotten")
		}
	}
	l.known.Store(int64(len(l.limits)))
}

// inForce counts the limits in force.
func (l *Limiter) inForce() int {
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
