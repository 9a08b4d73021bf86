package soak

import (
	"time"

	"hawthornrill.example/hawthornrill/endpointlimit/limittest"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// limitSettles is how long after it was first named an endpoint's limit binds.
	limitSettles = 3 * time.Second
	// limitExcused is how long after a fault of its own a node's requests don't count.
	limitExcused = 3 * time.Second
)

// limited is a time in which an endpoint named a limit of so many requests a second.
type limited struct {
	endpoint  *platformtest.Endpoint
	perSecond int
	from, to  time.Time
}

// checkLimits looks for endpoints that got more than they had named to take from all nodes together.
func (s *soak) checkLimits() {
	nodes := make(map[string]string, len(s.record.outcomes))
	for _, o := range s.record.outcomes {
		nodes[o.id] = o.node
	}
	for _, l := range s.limits {
		counted := s.countedArrivals(l, nodes)
		allowed := limittest.MaxRequests(float64(l.perSecond))
		if most := limittest.MaxInWindow(counted); float64(most) > allowed {
			o := outcome{id: l.endpoint.ID, sent: l.from, ended: l.to}
			s.t.Errorf("endpoint %s named a limit of %d a second and got %d requests in %v, allowed %v\n%s\nlogs in %s", l.endpoint.ID,
				l.perSecond, most, limittest.Window, allowed, s.record.timeline(o), s.dir)
		}
		s.t.Logf("endpoint %s named a limit of %d a second for %v and got %d requests that count", l.endpoint.ID, l.perSecond,
			l.to.Sub(l.from), len(counted))
	}
}

// countedArrivals are when requests came while the limit bound, from nodes that no fault excuses.
func (s *soak) countedArrivals(l *limited, nodes map[string]string) []time.Time {
	var counted []time.Time
	for _, a := range l.endpoint.Arrivals() {
		bound := !a.At.Before(l.from.Add(limitSettles)) && a.At.Before(l.to)
		if bound && !s.record.excusesLimit(nodes[a.ID], a.At) {
			counted = append(counted, a.At)
		}
	}
	return counted
}
