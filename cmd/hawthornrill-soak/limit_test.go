package soak

import (
	"time"

	"hawthornrill.example/hawthornrill/endpointlimit/limittest"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// limitPropagationTime is the time after which all nodes must observe an endpoint's newly advertised limit.
	limitPropagationTime = 3 * time.Second
	// limitRecoveryTime is the time after a node's own fault during which its requests are not counted.
	limitRecoveryTime = 3 * time.Second
)

// limitPeriod is a period in which an endpoint advertised a limit in requests per second.
type limitPeriod struct {
	endpoint  *platformtest.Endpoint
	perSecond int
	from, to  time.Time
}

// checkLimits fails the test if the nodes together sent an endpoint more requests than its advertised limit allows.
func (s *soak) checkLimits() {
	for _, l := range s.limits {
		counted := s.countedArrivals(l)
		allowed := limittest.MaxRequests(float64(l.perSecond))
		if most := limittest.MaxInWindow(counted); float64(most) > allowed {
			o := outcome{id: l.endpoint.ID, sent: l.from, ended: l.to}
			s.t.Errorf("endpoint %s advertised a limit of %d requests/s and received %d requests in %v, at most %v allowed\n%s\nlogs in %s", l.endpoint.ID,
				l.perSecond, most, limittest.Window, allowed, s.history.timeline(o), s.dir)
		}
		s.t.Logf("endpoint %s advertised a limit of %d requests/s for %v and received %d counted requests", l.endpoint.ID, l.perSecond,
			l.to.Sub(l.from), len(counted))
	}
}

// countedArrivals returns the arrival times of requests that the limit covers: those that arrived while it was in effect,
// from nodes without a fault that explains a breach.
func (s *soak) countedArrivals(l *limitPeriod) []time.Time {
	var counted []time.Time
	for _, a := range l.endpoint.Arrivals() {
		inEffect := !a.At.Before(l.from.Add(limitPropagationTime)) && a.At.Before(l.to)
		if inEffect && !s.history.explainsLimitBreach(s.sender(l.endpoint, a), a.At) {
			counted = append(counted, a.At)
		}
	}
	return counted
}
