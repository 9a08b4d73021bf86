package endpointgate

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
)

// testGate is a Gate with a clock of its own and its log.
type testGate struct {
	*Gate
	now boottime.Instant
	log strings.Builder
}

// noLimits are Limits of endpoints without any.
type noLimits struct{}

func (noLimits) Bars(*directory.Endpoint) bool    { return false }
func (noLimits) Allows(*directory.Endpoint) bool  { return true }
func (noLimits) Take(*directory.Endpoint) float64 { return 0 }

func newTestGate() *testGate {
	g := &testGate{now: boottime.Instant(time.Hour)}
	g.Gate = New(Config{
		Directory: directory.New(), Limits: noLimits{}, Clock: func() boottime.Instant { return g.now }, Log: zerolog.New(&g.log), Metrics: metrics.NewSet(),
	})
	return g
}

func TestStateShowsWhenRestEnds(t *testing.T) {
	g := newTestGate()
	g.Record(testEndpoint(), "r", Notice{Rest: 3 * time.Second})
	g.now = g.now.Add(time.Second)
	state := g.State()
	assert.Equal(t, len(state), 1)
	assert.Equal(t, state[0].RestAskedMS, int64(3000))
	assert.Equal(t, state[0].RestAgeMS, int64(1000))
	assert.Assert(t, state[0].RestEndsInMS >= 2000, "%d ms", state[0].RestEndsInMS)
	assert.Equal(t, g.resting(), 1)
	g.now = g.now.Add(time.Minute)
	assert.Equal(t, len(g.State()), 0)
	assert.Equal(t, g.resting(), 0)
}

func TestShorterRestDoesNotEndLongerOne(t *testing.T) {
	g := newTestGate()
	g.Record(testEndpoint(), "r", Notice{Rest: 10 * time.Second})
	g.Record(testEndpoint(), "r", Notice{Rest: time.Second})
	assert.Equal(t, g.State()[0].RestAskedMS, int64(10_000))
	g.Record(testEndpoint(), "r", Notice{})
	assert.Equal(t, g.State()[0].RestAskedMS, int64(10_000))
}

func TestLongestRestIsBounded(t *testing.T) {
	g := newTestGate()
	g.Record(testEndpoint(), "r", Notice{Rest: math.MaxInt64})
	g.now = g.now.Add(2 * maxRest)
	assert.Equal(t, len(g.State()), 0)
}

func TestNoticesAreLogged(t *testing.T) {
	g := newTestGate()
	for range 2 {
		g.Record(testEndpoint(), "r1", Notice{Leaving: true})
	}
	g.Record(testEndpoint(), "r2", Notice{Rest: time.Second, Err: errors.New("repeated")})
	for _, line := range []string{"endpoint says that it is leaving", "endpoint asks for rest", "malformed notice"} {
		assert.Equal(t, strings.Count(g.log.String(), line), 1, g.log.String())
	}
	assert.Equal(t, *g.State()[0].LeavingMS, int64(0))
	assert.Equal(t, g.malformedNotices.Get(), uint64(1))
}
