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

// rig is a limiter with a clock of its own.
type rig struct {
	*Limiter
	now boottime.Instant
}

func newRig() *rig {
	r := &rig{now: boottime.Instant(time.Hour)}
	r.Limiter = New(Config{
		Self: "n0", Clock: func() boottime.Instant { return r.now }, Members: func() []domain.Member { return members(1, 1) },
		Directory: directory.New(),
		Log:       zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	return r
}

// states is an answer that comes now to a request sent so long ago.
func (r *rig) states(s Advertisement, ago time.Duration) {
	r.RecordAdvertisement(testEndpoint, r.now.Add(-ago), s)
}

// told is the report that the limiter fills.
func (r *rig) told() gossip.Report {
	report := gossip.Report{From: "m"}
	r.AddToReport(&report)
	return report
}

func named(perSecond float64) Advertisement {
	return Advertisement{Kind: Advertised, PerSecond: perSecond}
}

func TestLimitIsKnownWhileItIsNamed(t *testing.T) {
	r := newRig()
	r.states(Advertisement{}, 0)
	assert.Equal(t, r.inForce(), 0)
	r.states(named(4.6), 0)
	assert.Equal(t, r.inForce(), 1)
	r.now = r.now.Add(time.Second)
	r.states(Advertisement{Kind: Invalid}, 0)
	assert.Equal(t, r.inForce(), 1, "what can't be read ends nothing")
	assert.Equal(t, r.unreadable.Get(), uint64(1))
	r.states(Advertisement{}, 0)
	assert.Equal(t, r.inForce(), 0)
}

func TestAnswerToAnEarlierRequestDoesNotEndALimit(t *testing.T) {
	r := newRig()
	r.states(named(4.6), 0)
	r.now = r.now.Add(100 * time.Millisecond)
	r.states(Advertisement{}, 200*time.Millisecond)
	assert.Equal(t, r.inForce(), 1)
	r.states(Advertisement{}, 50*time.Millisecond)
	assert.Equal(t, r.inForce(), 0)
}

func TestLimitIsToldToTheOthers(t *testing.T) {
	a, b := newRig(), newRig()
	a.states(named(4.6), 0)
	a.now = a.now.Add(time.Second)
	report := a.told()
	assert.DeepEqual(t, report.Limits, []gossip.EndpointLimit{{Endpoint: testEndpoint, PerSecond: 4.6, AgeMillis: 1000}})
	b.ApplyReport(&report)
	assert.Equal(t, b.inForce(), 1)
	assert.Equal(t, len(b.told().Limits), 0, "only who heard it from the endpoint tells")
	a.states(Advertisement{}, 0)
	report = a.told()
	b.ApplyReport(&report)
	assert.Equal(t, b.inForce(), 0)
	a.now = a.now.Add(tellFor + time.Millisecond)
	assert.Equal(t, len(a.told().Limits), 0)
}

func TestLaterStatementHolds(t *testing.T) {
	r := newRig()
	r.states(named(4.6), 0)
	earlier := gossip.Report{Limits: []gossip.EndpointLimit{{Endpoint: testEndpoint, Ended: true, AgeMillis: 100}}}
	r.ApplyReport(&earlier)
	assert.Equal(t, r.inForce(), 1)
	r.now = r.now.Add(200 * time.Millisecond)
	r.ApplyReport(&earlier)
	assert.Equal(t, r.inForce(), 0)
}

func TestLimitThatIsNotStatedAgainIsForgotten(t *testing.T) {
	r := newRig()
	r.states(named(4.6), 0)
	r.now = r.now.Add(forgetAfter)
	r.told()
	assert.Equal(t, r.inForce(), 1)
	r.now = r.now.Add(time.Millisecond)
	r.told()
	assert.Equal(t, r.inForce(), 0)
}

func TestUnusableReportsAreLeftAside(t *testing.T) {
	r := newRig()
	r.ApplyReport(&gossip.Report{Limits: []gossip.EndpointLimit{
		{Endpoint: "negative", PerSecond: -1},
		{Endpoint: "nan", PerSecond: math.NaN()},
		{Endpoint: "infinite", PerSecond: math.Inf(1)},
		{Endpoint: "later", PerSecond: 1, AgeMillis: -1},
		{Endpoint: "ended", Ended: true},
	}})
	assert.Equal(t, r.inForce(), 0)
	assert.Equal(t, len(r.limits), 0)
}
