package capacity

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// serviceCounts are the counters of a node's part in capacity.
type serviceCounts struct {
	granted     *metrics.Counter
	shed        *metrics.Counter
	deadline    *metrics.Counter
	noEndpoint  *metrics.Counter
	quarantined *metrics.Counter
	unreachable *metrics.Counter
	givenBack   *metrics.Counter
	lists       *metrics.Counter
	visits      *metrics.Counter
	quotes      *metrics.Counter
}

// refused counts a refusal by its reason.
func (c *serviceCounts) refused(err error) {
	switch {
	case errors.Is(err, ErrDeadline):
		c.deadline.Inc()
	case errors.Is(err, ErrNoEndpoint):
		c.noEndpoint.Inc()
	case errors.Is(err, ErrQuarantined):
		c.quarantined.Inc()
	default:
		c.shed.Inc()
	}
}

// register makes the counters and gauges.
func (s *Service) register() {
	set := s.options.Metrics
	counter := func(name string) *metrics.Counter {
		return set.NewCounter("hawthornrill_capacity_" + name)
	}
	s.counts = serviceCounts{
		granted:     counter("grants_total"),
		shed:        counter(`refusals_total{reason="shed"}`),
		deadline:    counter(`refusals_total{reason="deadline"}`),
		noEndpoint:  counter(`refusals_total{reason="no_endpoint"}`),
		quarantined: counter(`refusals_total{reason="quarantined"}`),
		unreachable: counter("owner_unreachable_total"),
		givenBack:   counter("grants_given_back_total"),
		lists:       counter("account_differs_total"),
		visits:      counter("moves_to_other_data_centre_total"),
		quotes:      counter("quotes_total"),
	}
	gauge := func(name string, f func(o *owner) int) {
		set.NewGauge("hawthornrill_capacity_"+name, func() float64 { return s.sumOwners(f) })
	}
	gauge("owned_groups", func(*owner) int { return 1 })
	gauge("owner_waiting", func(o *owner) int { return o.queue.Len() })
	gauge("owner_revoking", func(o *owner) int { return len(o.revoking) })
	gauge("owner_granted", func(o *owner) int { return o.held() })
	for name, f := range ownerTotals {
		gauge(fmt.Sprintf("owner_decisions{kind=%q}", name), func(o *owner) int { return int(f(&o.counts)) })
	}
}

// ownerTotals are the counts of the owners that this node has now.
var ownerTotals = map[string]func(*ownerCounts) uint64{
	"granted":  func(c *ownerCounts) uint64 { return c.Granted },
	"queued":   func(c *ownerCounts) uint64 { return c.Queued },
	"sought":   func(c *ownerCounts) uint64 { return c.Sought },
	"shed":     func(c *ownerCounts) uint64 { return c.Shed },
	"deadline": func(c *ownerCounts) uint64 { return c.Deadline },
	"refused":  func(c *ownerCounts) uint64 { return c.Refused },
	"revoked":  func(c *ownerCounts) uint64 { return c.Revoked },
	"expired":  func(c *ownerCounts) uint64 { return c.Expired },
	"adopted":  func(c *ownerCounts) uint64 { return c.Adopted },
}

func (s *Service) sumOwners(f func(*owner) int) float64 {
	sum := 0
	for _, c := range *s.cells.Load() {
		c.mu.Lock()
		sum += f(c.owner)
		c.mu.Unlock()
	}
	return float64(sum)
}

// held counts the grants at the owner's places.
func (o *owner) held() int {
	held := 0
	for _, p := range o.places {
		held += p.state.Requests
	}
	return held
}
