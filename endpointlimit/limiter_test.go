package endpointlimit

import (
	"math"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

const testEndpoint = domain.EndpointID("e")

// testLimiter is a Limiter with a clock of its own.
type testLimiter struct {
	*Limiter
	now boottime.Instant
}

func newTestLimiter() *testLimiter {
	l := &testLimiter{now: boottime.Instant(time.Hour)}
	l.Limiter = New(Config{
		Self: "n0", Clock: func() boottime.Instant { return l.now }, Members: func() []domain.Member { return testMembers(1, 1) },
		Directory: directory.New(),
		Log:       zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	return l
}

// advertise records an advertisement in a response received now, to a request that was sent the given time ago.
func (l *testLimiter) advertise(s Advertisement, ago time.Duration) {
	l.RecordAdvertisement(testEndpoint, l.now.Add(-ago), s)
}

// report returns a report filled by the limiter.
func (l *testLimiter) report() gossip.Report {
	report := gossip.Report{From: "m"}
	l.AddToReport(&report)
	return report
}

func advertised(perSecond float64) Advertisement {
	return Advertisement{Kind: Advertised, PerSecond: perSecond}
}

func TestLimitIsInForceWhileAdvertised(t *testing.T) {
	l := newTestLimiter()
	l.advertise(Advertisement{}, 0)
	assert.Equal(t, l.countInForce(), 0)
	l.advertise(advertised(4.6), 0)
	assert.Equal(t, l.countInForce(), 1)
	l.now = l.now.Add(time.Second)
	l.advertise(Advertisement{Kind: Invalid}, 0)
	assert.Equal(t, l.countInForce(), 1, "an invalid advertisement changed the limits in force")
	assert.Equal(t, l.invalid.Get(), uint64(1))
	l.advertise(Advertisement{}, 0)
	assert.Equal(t, l.countInForce(), 0)
}

func TestResponseToEarlierRequestDoesNotEndLimit(t *testing.T) {
	l := newTestLimiter()
	l.advertise(advertised(4.6), 0)
	l.now = l.now.Add(100 * time.Millisecond)
	l.advertise(Advertisement{}, 200*time.Millisecond)
	assert.Equal(t, l.countInForce(), 1)
	l.advertise(Advertisement{}, 50*time.Millisecond)
	assert.Equal(t, l.countInForce(), 0)
}

func TestLimitIsReportedToPeers(t *testing.T) {
	a, b := newTestLimiter(), newTestLimiter()
	a.advertise(advertised(4.6), 0)
	a.now = a.now.Add(time.Second)
	report := a.report()
	assert.DeepEqual(t, report.Limits, []gossip.EndpointLimit{{Endpoint: testEndpoint, PerSecond: 4.6, AgeMillis: 1000}})
	b.ApplyReport(&report)
	assert.Equal(t, b.countInForce(), 1)
	assert.Equal(t, len(b.report().Limits), 0, "a node reported an advertisement that it only knows from a peer")
	a.advertise(Advertisement{}, 0)
	report = a.report()
	b.ApplyReport(&report)
	assert.Equal(t, b.countInForce(), 0)
	a.now = a.now.Add(reportFor + time.Millisecond)
	assert.Equal(t, len(a.report().Limits), 0)
}

func TestLatestAdvertisementWins(t *testing.T) {
	l := newTestLimiter()
	l.advertise(advertised(4.6), 0)
	earlier := gossip.Report{Limits: []gossip.EndpointLimit{{Endpoint: testEndpoint, Ended: true, AgeMillis: 100}}}
	l.ApplyReport(&earlier)
	assert.Equal(t, l.countInForce(), 1)
	l.now = l.now.Add(200 * time.Millisecond)
	l.ApplyReport(&earlier)
	assert.Equal(t, l.countInForce(), 0)
}

func TestLimitNotRenewedExpires(t *testing.T) {
	l := newTestLimiter()
	l.advertise(advertised(4.6), 0)
	l.now = l.now.Add(expireAfter)
	l.report()
	assert.Equal(t, l.countInForce(), 1)
	l.now = l.now.Add(time.Millisecond)
	l.report()
	assert.Equal(t, l.countInForce(), 0)
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	l := newTestLimiter()
	l.ApplyReport(&gossip.Report{Limits: []gossip.EndpointLimit{
		{Endpoint: "negative", PerSecond: -1},
		{Endpoint: "nan", PerSecond: math.NaN()},
		{Endpoint: "infinite", PerSecond: math.Inf(1)},
		{Endpoint: "later", PerSecond: 1, AgeMillis: -1},
		{Endpoint: "ended", Ended: true},
	}})
	assert.Equal(t, l.countInForce(), 0)
	assert.Equal(t, len(l.limits), 0)
}
