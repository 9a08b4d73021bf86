package load

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// boundResolution is the length of a time slot of GoodputBound.
const boundResolution = time.Second

// GoodputBound estimates, for each tier, how many model requests an offline scheduler
// that knows all lengths and speeds in advance could answer on time at most.
//
// The engines are modelled as one machine that can split its work arbitrarily, with
// batches always full up to the configured limit and nothing computed twice. Requests
// whose caller hangs up are excluded, as are those that the fastest engine could not
// answer in time even without other work. Requests are added tier by tier, and within a
// tier in order of increasing cost. A request is added if the set stays feasible: for
// each time interval, the work of the requests that arrive and are due within it must
// not exceed the capacity of the machine in that interval.
//
// Arrivals are rounded down and deadlines up to whole seconds. Adding the cheapest
// requests first maximises their number except for rounding, so the result is an
// estimate from above.
func GoodputBound(w *Workload, table *config.Table) map[domain.Tier]int {
	var candidates []*Request
	for i := range w.Requests {
		if r := &w.Requests[i]; r.IsModelRequest() && r.HangUpAfter == 0 && Cost(r, 1) <= r.Timeout {
			candidates = append(candidates, r)
		}
	}
	batch := batchSize(table)
	slices.SortStableFunc(candidates, func(a, b *Request) int {
		if a.Tier != b.Tier {
			return int(a.Tier) - int(b.Tier)
		}
		return int(Cost(a, batch) - Cost(b, batch))
	})
	capacities := newIntervalCapacity(candidates, Capacity(table))
	counts := make(map[domain.Tier]int)
	for _, r := range candidates {
		if capacities.reserve(r, Cost(r, batch).Seconds()) {
			counts[r.Tier]++
		}
	}
	return counts
}

// intervalCapacity holds the remaining capacity of each interval of slots, in engine
// seconds, by its first and last slot.
type intervalCapacity struct {
	remaining [][]float64
}

func newIntervalCapacity(requests []*Request, capacity float64) *intervalCapacity {
	last := 0
	for _, r := range requests {
		last = max(last, deadlineSlot(r))
	}
	remaining := make([][]float64, last+1)
	for from := range remaining {
		remaining[from] = make([]float64, last+1)
		for to := range remaining[from] {
			remaining[from][to] = capacity * float64(to-from+1) * boundResolution.Seconds()
		}
	}
	return &intervalCapacity{remaining: remaining}
}

// deadlineSlot returns the last slot in which work on a request still counts.
func deadlineSlot(r *Request) int { return int((r.At + r.Timeout) / boundResolution) }

// reserve subtracts the work from all intervals that contain the request. It returns
// false and changes nothing if the work does not fit.
func (c *intervalCapacity) reserve(r *Request, work float64) bool {
	arrival, end := int(r.At/boundResolution), deadlineSlot(r)
	for from := range arrival + 1 {
		for to := end; to < len(c.remaining); to++ {
			if c.remaining[from][to] < work {
				return false
			}
		}
	}
	for from := range arrival + 1 {
		for to := end; to < len(c.remaining); to++ {
			c.remaining[from][to] -= work
		}
	}
	return true
}
