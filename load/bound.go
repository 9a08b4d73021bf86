package load

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// boundSlot is the resolution of the bound's time.
const boundSlot = time.Second

// GoodputBound estimates how many model requests of each tier a scheduler could at most
// answer on time that knows all lengths and speeds beforehand. The engines are
// one machine that may divide its work at will, with batches always full to the
// operators' limit and nothing computed twice; requests that hang up are left out,
// and those that the fastest engine could not answer in time if it had no other.
// Tier by tier, and within a tier the cheapest first, a request is taken if all
// taken still fit: for each span of time the work of those that arrive and are due
// within it is no more than the machine does in it. Arrivals are rounded down and
// instants due up to whole seconds. Taking the cheapest first is best for the count
// but for rounding, so it is an estimate of the bound from above.
func GoodputBound(w *Workload, table *config.Table) map[domain.Tier]int {
	var asked []*Request
	for i := range w.Requests {
		if r := &w.Requests[i]; r.IsModelRequest() && r.HangUpAfter == 0 && Cost(r, 1) <= r.Timeout {
			asked = append(asked, r)
		}
	}
	batch := batchOf(table)
	slices.SortStableFunc(asked, func(a, b *Request) int {
		if a.Tier != b.Tier {
			return int(a.Tier) - int(b.Tier)
		}
		return int(Cost(a, batch) - Cost(b, batch))
	})
	s := newSpans(asked, Capacity(table))
	taken := make(map[domain.Tier]int)
	for _, r := range asked {
		if s.take(r, Cost(r, batch).Seconds()) {
			taken[r.Tier]++
		}
	}
	return taken
}

// spans holds the work that is left for each span of slots.
type spans struct {
	left [][]float64
}

func newSpans(requests []*Request, capacity float64) *spans {
	last := 0
	for _, r := range requests {
		last = max(last, due(r))
	}
	left := make([][]float64, last+1)
	for from := range left {
		left[from] = make([]float64, last+1)
		for to := range left[from] {
			left[from][to] = capacity * float64(to-from+1) * boundSlot.Seconds()
		}
	}
	return &spans{left: left}
}

// due is the last slot in which a request may be worked on.
func due(r *Request) int { return int((r.At + r.Timeout) / boundSlot) }

// take reserves the work unless it does not fit.
func (s *spans) take(r *Request, work float64) bool {
	arrival, end := int(r.At/boundSlot), due(r)
	for from := range arrival + 1 {
		for to := end; to < len(s.left); to++ {
			if s.left[from][to] < work {
				return false
			}
		}
	}
	for from := range arrival + 1 {
		for to := end; to < len(s.left); to++ {
			s.left[from][to] -= work
		}
	}
	return true
}
