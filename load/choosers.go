package load

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// chooserBase implements the methods of capacity.Chooser that the baseline choosers do
// not use: it admits every request, makes no forecasts and ignores results.
type chooserBase struct{}

// Admit implements capacity.Chooser.
func (chooserBase) Admit(time.Time, *capacity.Request) error { return nil }

// Granted implements capacity.Chooser.
func (chooserBase) Granted(time.Time, *capacity.EndpointState, *capacity.Request) {}

// Forecast implements capacity.Chooser.
func (chooserBase) Forecast(time.Time, *capacity.EndpointState, *capacity.Request) capacity.Forecast {
	return capacity.Forecast{}
}

// Observe implements capacity.Chooser.
func (chooserBase) Observe(time.Time, *capacity.EndpointState, *capacity.Request, capacity.Result) {}

// Random chooses an endpoint at random.
type Random struct {
	chooserBase
	random *rand.Rand
}

// NewRandom returns a Random with the given seed.
func NewRandom(seed uint64) *Random { return &Random{random: rand.New(rand.NewPCG(seed, 1))} }

// Choose implements capacity.Chooser.
func (c *Random) Choose(_ time.Time, _ *capacity.QueuedRequest, candidates []*capacity.EndpointState) (int, bool) {
	return c.random.IntN(len(candidates)), true
}

// RoundRobin chooses the endpoints in rotation.
type RoundRobin struct {
	chooserBase
	turn int
}

// Choose implements capacity.Chooser.
func (c *RoundRobin) Choose(_ time.Time, _ *capacity.QueuedRequest, candidates []*capacity.EndpointState) (int, bool) {
	c.turn++
	return c.turn % len(candidates), true
}

// LeastReportedLoad chooses the endpoint with the lowest load in its last report.
type LeastReportedLoad struct {
	chooserBase
	load map[domain.EndpointID]int
	turn int
}

var _ capacity.ReportReceiver = (*LeastReportedLoad)(nil)

// NewLeastReportedLoad returns a LeastReportedLoad without reports.
func NewLeastReportedLoad() *LeastReportedLoad {
	return &LeastReportedLoad{load: make(map[domain.EndpointID]int)}
}

// Choose implements capacity.Chooser. Ties are broken in rotation.
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
