package load

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// balancer is the part that the plain choosers share: they learn nothing.
type balancer struct{}

// Admit implements capacity.Chooser.
func (balancer) Admit(time.Time, *capacity.Request) error { return nil }

// Granted implements capacity.Chooser.
func (balancer) Granted(time.Time, *capacity.EndpointState, *capacity.Request) {}

// Forecast implements capacity.Chooser.
func (balancer) Forecast(time.Time, *capacity.EndpointState, *capacity.Request) capacity.Forecast {
	return capacity.Forecast{}
}

// Observe implements capacity.Chooser.
func (balancer) Observe(time.Time, *capacity.EndpointState, *capacity.Request, capacity.Result) {}

// Random takes any endpoint.
type Random struct {
	balancer
	random *rand.Rand
}

// NewRandom returns a seeded Random.
func NewRandom(seed uint64) *Random { return &Random{random: rand.New(rand.NewPCG(seed, 1))} }

// Choose implements capacity.Chooser.
func (c *Random) Choose(_ time.Time, _ *capacity.QueuedRequest, candidates []*capacity.EndpointState) (int, bool) {
	return c.random.IntN(len(candidates)), true
}

// RoundRobin takes the endpoints in turn.
type RoundRobin struct {
	balancer
	turn int
}

// Choose implements capacity.Chooser.
func (c *RoundRobin) Choose(_ time.Time, _ *capacity.QueuedRequest, candidates []*capacity.EndpointState) (int, bool) {
	c.turn++
	return c.turn % len(candidates), true
}

// LeastReportedLoad takes the endpoint whose last report told the least load.
type LeastReportedLoad struct {
	balancer
	load map[domain.EndpointID]int
	turn int
}

var _ capacity.ReportReceiver = (*LeastReportedLoad)(nil)

// NewLeastReportedLoad returns a LeastReportedLoad that has no reports yet.
func NewLeastReportedLoad() *LeastReportedLoad {
	return &LeastReportedLoad{load: make(map[domain.EndpointID]int)}
}

// Choose implements capacity.Chooser. Among equals it takes turns.
func (c *LeastReportedLoad) Choose(_ time.Time, _ *capacity.QueuedRequest, candidates []*capacity.EndpointState) (int, bool) {
	c.turn++
	best := c.turn % len(candidates)
	for i := range candidates {
		at := (c.turn + i) % len(candidates)
		if c.load[candidates[at].ID] < c.load[candidates[best].ID] {
			best = at
		}
	}
	return best, true
}

// Report implements capacity.ReportReceiver.
func (c *LeastReportedLoad) Report(_ time.Time, e *capacity.EndpointState, report endpoint.LoadReport) {
	c.load[e.ID] = report.Running + report.Waiting
}

// CacheEvents implements capacity.ReportReceiver.
func (*LeastReportedLoad) CacheEvents(time.Time, *capacity.EndpointState, []endpoint.CacheEvent) {}
