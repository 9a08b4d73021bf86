package endpointlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpointlimit/limittest"
)

// members are so many nodes, dealt out evenly to so many data centres.
func members(nodes, centres int) []domain.Member {
	var list []domain.Member
	for i := range nodes {
		list = append(list, domain.Member{Node: domain.NodeID(fmt.Sprint("n", i)), DataCentre: centre(i % centres)})
	}
	return list
}

func centre(i int) domain.DataCentre { return domain.DataCentre(fmt.Sprint("d", i)) }

// oneIn lists an endpoint of the service in each of the data centres.
func oneIn(centres ...domain.DataCentre) *directory.Directory {
	d := directory.New()
	for _, at := range centres {
		d.Apply(0, []*directory.Endpoint{{ID: domain.EndpointID(at), Service: "s", DataCentre: at, Slots: 1}}, nil, 0)
	}
	return d
}

// fleet is the limiters of some nodes on one clock, and the instants at which they sent.
type fleet struct {
	now      boottime.Instant
	endpoint *directory.Endpoint
	nodes    []*Limiter
	sent     []boottime.Instant
}

func newFleet(list []domain.Member, at domain.DataCentre) *fleet {
	f := &fleet{now: boottime.Instant(time.Hour), endpoint: &directory.Endpoint{ID: testEndpoint, Service: "s", DataCentre: at}}
	listed := oneIn(at, "d0", "d1", "d2", "d3")
	for _, m := range list {
		f.nodes = append(f.nodes, New(Config{
			Self: m.Node, Clock: func() boottime.Instant { return f.now }, Members: func() []domain.Member { return list },
			Directory: listed,
			Log:       zerolog.Nop(), Metrics: metrics.NewSet(),
		}))
	}
	return f
}

// learn tells all nodes of the limit.
func (f *fleet) learn(perSecond float64) {
	for _, n := range f.nodes {
		n.RecordAdvertisement(testEndpoint, f.now, named(perSecond))
	}
}

// press lets all nodes send whenever they may, and hear the limit again each second.
func (f *fleet) press(during time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for i := range during / step {
		f.now = f.now.Add(step)
		for _, n := range f.nodes {
			for n.Allows(f.endpoint) {
				n.Take(f.endpoint)
				f.sent = append(f.sent, f.now)
			}
		}
		if i%(time.Second/step) == 0 {
			f.learn(perSecond)
		}
	}
}

// Pattern: endpoints of a small and of a large fleet name limits, while every node has more for them than they take, also
// after a time in which none had.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 72} {
		for _, perSecond := range []float64{0, 0.3, 4.6, 30} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, perSecond), func(t *testing.T) {
				f := newFleet(members(nodes, min(nodes, 4)), centre(0))
				f.learn(perSecond)
				f.press(20*time.Second, perSecond)
				pressed := len(f.sent)
				f.now = f.now.Add(20 * time.Second)
				f.press(20*time.Second, perSecond)
				most := limittest.MaxInWindow(f.sent)
				assert.Assert(t, float64(most) <= limittest.MaxRequests(perSecond), "%d within %v", most, limittest.Window)
				assert.Assert(t, float64(pressed) >= 0.9*20*perSecond-1, "the limit is made use of: %d in 20 s", pressed)
			})
		}
	}
}

func TestEndpointThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	f := newFleet(members(7, 3), centre(0))
	f.learn(0)
	f.press(25*time.Second, 0)
	assert.Equal(t, len(f.sent), 2)
}

func TestSharesSumUpToTheLimit(t *testing.T) {
	tests := []struct {
		name      string
		nodes     []domain.Member
		at        domain.DataCentre
		perSecond float64
		listed    *directory.Directory
		sharers   int
	}{
		{"the endpoint's data centre", members(8, 4), "d1", 4, oneIn("d0", "d1", "d2", "d3"), 2},
		{"no node in it", members(8, 4), "elsewhere", 8, oneIn("elsewhere", "d0", "d1", "d2", "d3"), 8},
		{"a data centre without an endpoint of the service", members(8, 4), "d1", 4, oneIn("d0", "d1", "d2"), 4},
		{"more nodes than may send at once", members(72, 3), "d2", 4.6, oneIn("d0", "d1", "d2"), 6},
		{"a limit below a request a second", members(9, 3), "d0", 0.2, oneIn("d0", "d1", "d2"), 1},
		{"one node", members(1, 1), "d0", 4, oneIn("d0"), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &directory.Endpoint{ID: testEndpoint, Service: "s", DataCentre: test.at}
			var sum float64
			sharers := 0
			for _, m := range test.nodes {
				part := share(m.Node, e, test.perSecond, test.nodes, test.listed.Current())
				sum += part
				if part > 0 {
					sharers++
				}
			}
			assert.Equal(t, sharers, test.sharers)
			assert.Assert(t, sum > test.perSecond-1e-9 && sum < test.perSecond+1e-9, "%v", sum)
		})
	}
}

func TestNodeThatKnowsOfNoLimitSendsWhatItWill(t *testing.T) {
	f := newFleet(members(1, 1), centre(0))
	n := f.nodes[0]
	assert.Assert(t, n.Allows(f.endpoint) && !n.Bars(f.endpoint))
	assert.Equal(t, n.Take(f.endpoint), 0.0)
	f.learn(2)
	assert.Assert(t, !n.Allows(f.endpoint), "its share begins with nothing")
	f.now = f.now.Add(500 * time.Millisecond)
	assert.Assert(t, n.Allows(f.endpoint))
	assert.Equal(t, n.Take(f.endpoint), 2.0)
	assert.Assert(t, !n.Allows(f.endpoint) && !n.Bars(f.endpoint))
	n.RecordAdvertisement(testEndpoint, f.now, Advertisement{})
	assert.Assert(t, n.Allows(f.endpoint))
}

func TestIdleNodeFillsItsShareFromWhenItLearnsOfTheLimit(t *testing.T) {
	f := newFleet(members(1, 1), centre(0))
	f.learn(2)
	f.now = f.now.Add(time.Second)
	assert.Assert(t, f.nodes[0].Allows(f.endpoint))
}

func TestRestartedEndpointHasNoLimit(t *testing.T) {
	f := newFleet(members(1, 1), centre(0))
	f.learn(2)
	restarted := *f.endpoint
	restarted.Born = 1
	assert.Assert(t, !f.nodes[0].Allows(f.endpoint) && f.nodes[0].Allows(&restarted))
}
