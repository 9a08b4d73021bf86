package capacity

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/peer"
)

// leavingSet holds the endpoints that this node has marked as leaving.
type leavingSet struct {
	mu        sync.Mutex
	endpoints map[domain.EndpointID]struct{}
}

// set marks an endpoint or removes the mark. It reports whether that is a change.
func (l *leavingSet) set(id domain.EndpointID, leaving bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, marked := l.endpoints[id]
	if leaving {
		l.endpoints[id] = struct{}{}
	} else {
		delete(l.endpoints, id)
	}
	return marked != leaving
}

func (l *leavingSet) all() []domain.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.endpoints))
}

// SetEndpointLeaving marks an endpoint as leaving on this node's behalf, or removes the
// mark. Its owner makes no new grants at a marked endpoint; existing grants continue.
// The mark is sent repeatedly until it is removed, and expires if this node stops.
func (s *Service) SetEndpointLeaving(id domain.EndpointID, leaving bool) {
	if s.leaving.set(id, leaving) {
		s.sendLeaving(id, leaving)
	}
}

// repeatLeaving sends all marks of leaving endpoints again.
func (s *Service) repeatLeaving() {
	for _, id := range s.leaving.all() {
		s.sendLeaving(id, true)
	}
}

func (s *Service) sendLeaving(id domain.EndpointID, leaving bool) {
	row, ok := s.endpointRow(id)
	if !ok {
		return
	}
	pools := row.PoolNames()
	if len(pools) == 0 {
		return
	}
	owner, ok := s.currentLayout().owner(row.DataCentre, pools[0])
	if !ok {
		return
	}
	message := leavingMessage{Endpoint: id, Leaving: leaving}
	if owner.SameIncarnation(s.self) {
		s.serveLeaving(s.self, &message)
		return
	}
	_ = peer.Send(s.base, s.transport, owner, methodLeaving, message)
}

func (s *Service) endpointRow(id domain.EndpointID) (*config.EndpointRow, bool) {
	c := s.currentLayout().config
	if c == nil {
		return nil, false
	}
	row, ok := c.Endpoints[id]
	return row, ok
}

// Report passes an endpoint's load report to the owner's Chooser. It does nothing if
// this node does not own the endpoint's pool.
func (s *Service) Report(id domain.EndpointID, report endpoint.LoadReport) {
	s.withReporter(id, func(now time.Time, r ReportReceiver, state *EndpointState) {
		r.Report(now, state, report)
	})
}

// CacheEvents passes an engine's prompt-cache events to the owner's Chooser. It does
// nothing if this node does not own the endpoint's pool.
func (s *Service) CacheEvents(id domain.EndpointID, events []endpoint.CacheEvent) {
	s.withReporter(id, func(now time.Time, r ReportReceiver, state *EndpointState) {
		r.CacheEvents(now, state, events)
	})
}

func (s *Service) withReporter(id domain.EndpointID, f func(time.Time, ReportReceiver, *EndpointState)) {
	row, ok := s.endpointRow(id)
	if !ok || row.DataCentre != s.self.DataCentre {
		return
	}
	pools := row.PoolNames()
	if len(pools) == 0 {
		return
	}
	s.withOwner(pools[0], func(now time.Time, o *owner, _ *pool) {
		r, ok := o.chooser.(ReportReceiver)
		if p, known := o.endpoints[id]; ok && known {
			f(now, r, &p.state)
		}
	})
}
