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

// testMembers returns nodes that are spread evenly over the data centres.
func testMembers(nodes, centres int) []domain.Member {
	var list []domain.Member
	for i := range nodes {
		list = append(list, domain.Member{Node: domain.NodeID(fmt.Sprint("n", i)), DataCentre: testDataCentre(i % centres)})
	}
	return list
}

func testDataCentre(i int) domain.DataCentre { return domain.DataCentre(fmt.Sprint("d", i)) }

// endpointsIn lists one endpoint of the service in each data centre.
func endpointsIn(centres ...domain.DataCentre) *directory.Directory {
	d := directory.New()
	for _, at := range centres {
		d.Apply(0, []*directory.Endpoint{{ID: domain.EndpointID(at), Service: "s", DataCentre: at, Slots: 1}}, nil, 0)
	}
	return d
}

// cluster holds the limiters of several nodes on one clock, and the instants at which they sent requests.
type cluster struct {
	now      boottime.Instant
	endpoint *directory.Endpoint
	nodes    []*Limiter
	sentAt   []boottime.Instant
}

func newCluster(list []domain.Member, at domain.DataCentre) *cluster {
	c := &cluster{now: boottime.Instant(time.Hour), endpoint: &directory.Endpoint{ID: testEndpoint, Service: "s", DataCentre: at}}
	listed := endpointsIn(at, "d0", "d1", "d2", "d3")
	for _, m := range list {
		c.nodes = append(c.nodes, New(Config{
			Self: m.Node, Clock: func() boottime.Instant { return c.now }, Members: func() []domain.Member { return list },
			Directory: listed,
			Log:       zerolog.Nop(), Metrics: metrics.NewSet(),
		}))
	}
	return c
}

// advertise makes the endpoint advertise the limit to all nodes.
func (c *cluster) advertise(perSecond float64) {
	for _, n := range c.nodes {
		n.RecordAdvertisement(testEndpoint, c.now, advertised(perSecond))
	}
}

// saturate makes all nodes send whenever the limiter allows, while the endpoint advertises the limit once a second.
func (c *cluster) saturate(during time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for i := range during / step {
		c.now = c.now.Add(step)
		for _, n := range c.nodes {
			for n.Allows(c.endpoint) {
				n.Take(c.endpoint)
				c.sentAt = append(c.sentAt, c.now)
			}
		}
		if i%(time.Second/step) == 0 {
			c.advertise(perSecond)
		}
	}
}

// Guards against exceeding a limit when every node, in small and large clusters, has more requests for the endpoint than it
// accepts, also after an idle period.
func TestLimitHoldsAcrossAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 72} {
		for _, perSecond := range []float64{0, 0.3, 4.6, 30} {
			t.Run(fmt.Sprintf("%d nodes, %v requests a second", nodes, perSecond), func(t *testing.T) {
				c := newCluster(testMembers(nodes, min(nodes, 4)), testDataCentre(0))
				c.advertise(perSecond)
				c.saturate(20*time.Second, perSecond)
				beforeIdle := len(c.sentAt)
				c.now = c.now.Add(20 * time.Second)
				c.saturate(20*time.Second, perSecond)
				largest := limittest.MaxInWindow(c.sentAt)
				assert.Assert(t, float64(largest) <= limittest.MaxRequests(perSecond), "%d within %v", largest, limittest.Window)
				assert.Assert(t, float64(beforeIdle) >= 0.9*20*perSecond-1, "the limit is not used up: %d in 20 s", beforeIdle)
			})
		}
	}
}

func TestEndpointWithZeroLimitIsProbed(t *testing.T) {
	c := newCluster(testMembers(7, 3), testDataCentre(0))
	c.advertise(0)
	c.saturate(25*time.Second, 0)
	assert.Equal(t, len(c.sentAt), 2)
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
		{"nodes in the endpoint's data centre", testMembers(8, 4), "d1", 4, endpointsIn("d0", "d1", "d2", "d3"), 2},
		{"no node in the endpoint's data centre", testMembers(8, 4), "elsewhere", 8, endpointsIn("elsewhere", "d0", "d1", "d2", "d3"), 8},
		{"a data centre without an endpoint of the service", testMembers(8, 4), "d1", 4, endpointsIn("d0", "d1", "d2"), 4},
		{"more nodes than burstSeconds allows", testMembers(72, 3), "d2", 4.6, endpointsIn("d0", "d1", "d2"), 6},
		{"limit below one request a second", testMembers(9, 3), "d0", 0.2, endpointsIn("d0", "d1", "d2"), 1},
		{"one node", testMembers(1, 1), "d0", 4, endpointsIn("d0"), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &directory.Endpoint{ID: testEndpoint, Service: "s", DataCentre: test.at}
			var sum float64
			sharers := 0
			for _, m := range test.nodes {
				fraction := share(m.Node, e, test.perSecond, test.nodes, test.listed.Current())
				sum += fraction
				if fraction > 0 {
					sharers++
				}
			}
			assert.Equal(t, sharers, test.sharers)
			assert.Assert(t, sum > test.perSecond-1e-9 && sum < test.perSecond+1e-9, "%v", sum)
		})
	}
}

func TestUnknownLimitDoesNotRestrict(t *testing.T) {
	c := newCluster(testMembers(1, 1), testDataCentre(0))
	n := c.nodes[0]
	assert.Assert(t, n.Allows(c.endpoint) && !n.Bars(c.endpoint))
	assert.Equal(t, n.Take(c.endpoint), 0.0)
	c.advertise(2)
	assert.Assert(t, !n.Allows(c.endpoint), "the bucket does not start empty")
	c.now = c.now.Add(500 * time.Millisecond)
	assert.Assert(t, n.Allows(c.endpoint))
	assert.Equal(t, n.Take(c.endpoint), 2.0)
	assert.Assert(t, !n.Allows(c.endpoint) && !n.Bars(c.endpoint))
	n.RecordAdvertisement(testEndpoint, c.now, Advertisement{})
	assert.Assert(t, n.Allows(c.endpoint))
}

func TestBucketFillsFromFirstAdvertisement(t *testing.T) {
	c := newCluster(testMembers(1, 1), testDataCentre(0))
	c.advertise(2)
	c.now = c.now.Add(time.Second)
	assert.Assert(t, c.nodes[0].Allows(c.endpoint))
}

func TestRestartedEndpointHasNoLimit(t *testing.T) {
	c := newCluster(testMembers(1, 1), testDataCentre(0))
	c.advertise(2)
	restarted := *c.endpoint
	restarted.Born = 1
	assert.Assert(t, !c.nodes[0].Allows(c.endpoint) && c.nodes[0].Allows(&restarted))
}
