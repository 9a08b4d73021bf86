package capacity

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// serviceCounts are the metrics counters of a Service.
type serviceCounts struct {
	granted          *metrics.Counter
	shed             *metrics.Counter
	deadline         *metrics.Counter
	noEndpoint       *metrics.Counter
	quarantined      *metrics.Counter
	ownerUnreachable *metrics.Counter
	unknownGrants    *metrics.Counter
	listings         *metrics.Counter
	moves            *metrics.Counter
	quotes           *metrics.Counter
}

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

// registerMetrics creates the counters and gauges.
func (s *Service) registerMetrics() {
	set := s.options.Metrics
	counter := func(name string) *metrics.Counter {
		return set.NewCounter("hawthornrill_capacity_" + name)
	}
	s.counts = serviceCounts{
		granted:          counter("grants_total"),
		shed:             counter(`refusals_total{reason="shed"}`),
		deadline:         counter(`refusals_total{reason="deadline"}`),
		noEndpoint:       counter(`refusals_total{reason="no_endpoint"}`),
		quarantined:      counter(`refusals_total{reason="quarantined"}`),
		ownerUnreachable: counter("owner_unreachable_total"),
		unknownGrants:    counter("grants_given_back_total"),
		listings:         counter("account_differs_total"),
		moves:            counter("moves_to_other_data_centre_total"),
		quotes:           counter("quotes_total"),
	}
	gauge := func(name string, f func(o *owner) int) {
		set.NewGauge("hawthornrill_capacity_"+name, func() float64 { return s.sumOwners(f) })
	}
	gauge("owned_groups", func(*owner) int { return 1 })
	gauge("owner_waiting", func(o *owner) int { return o.queue.Len() })
	gauge("owner_revoking", func(o *owner) int { return len(o.revoking) })
	gauge("owner_granted", func(o *owner) int { return o.grantCount() })
	for name, f := range ownerTotals {
		gauge(fmt.Sprintf("owner_decisions{kind=%q}", name), func(o *owner) int { return int(f(&o.counts)) })
	}
}

// ownerTotals maps metric labels to the counts of the owners that this node has now.
var ownerTotals = map[string]func(*ownerCounts) uint64{
	"granted":  func(c *ownerCounts) uint64 { return c.Granted },
	"queued":   func(c *ownerCounts) uint64 { return c.Queued },
	"sought":   func(c *ownerCounts) uint64 { return c.Searched },
	"shed":     func(c *ownerCounts) uint64 { return c.Shed },
	"deadline": func(c *ownerCounts) uint64 { return c.Deadline },
	"refused":  func(c *ownerCounts) uint64 { return c.Refused },
	"revoked":  func(c *ownerCounts) uint64 { return c.Revoked },
	"expired":  func(c *ownerCounts) uint64 { return c.Expired },
	"adopted":  func(c *ownerCounts) uint64 { return c.Adopted },
}

func (s *Service) sumOwners(f func(*owner) int) float64 {
	sum := 0
	for _, c := range *s.owners.Load() {
		c.mu.Lock()
		sum += f(c.owner)
		c.mu.Unlock()
	}
	return float64(sum)
}

// grantCount returns the number of grants at the owner's endpoints.
func (o *owner) grantCount() int {
	held := 0
	for _, p := range o.endpoints {
		held += p.state.Requests
	}
	return held
}
