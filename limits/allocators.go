package limits

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// allocators holds the organisations that a node owns.
type allocators struct {
	service *Service
	start   time.Time

	mu  sync.Mutex
	all map[domain.OrganisationID]*allocator
}

func newAllocators(s *Service) *allocators {
	return &allocators{service: s, start: time.Now(), all: make(map[domain.OrganisationID]*allocator)}
}

func (a *allocators) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.all)
}

// handleReport answers a report. It answers every node, since nodes may temporarily
// disagree on the owner.
func (a *allocators) handleReport(_ context.Context, from domain.Member, r report) (reply, error) {
	now := time.Now()
	nodes := a.service.refreshNodes()
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := reply{Shares: make([]allocation, len(r.Demands))}
	for i, d := range r.Demands {
		answer.Shares[i] = a.allocate(now, nodes, from, d)
	}
	return answer, nil
}

func (a *allocators) allocate(now time.Time, nodes *nodeSet, from domain.Member, d demand) allocation {
	params, ok := a.params(now, nodes, d.Organisation)
	if !ok {
		return allocation{Ignored: true}
	}
	owned, ok := a.all[d.Organisation]
	if !ok {
		owned = newAllocator(d.Organisation)
		a.all[d.Organisation] = owned
	}
	return owned.allocate(now, from, d, params)
}

// params returns the organisation's parameters from the current configuration.
func (a *allocators) params(now time.Time, nodes *nodeSet, id domain.OrganisationID) (allocationParams, bool) {
	o := &a.service.options
	snapshot := o.Config.Current()
	if snapshot == nil {
		return allocationParams{}, false
	}
	org, ok := snapshot.Organisations[id]
	if !ok {
		return allocationParams{}, false
	}
	return allocationParams{
		limit:           org.InFlight,
		pool:            pool(org.InFlight, len(nodes.live)),
		tokensPerMinute: org.TokensPerMinute,
		nodes:           len(nodes.live),
		settling:        nodes.settling(now, id, a.service.self(), o.SettleTime),
		ended:           nodes.incarnationEnded,
		expiry:          o.ShareRetention + 2*o.SlowReportInterval,
		rotation:        uint64(now.Sub(a.start) / o.RotationInterval),
	}, true
}

// evictIdle deletes organisations that no node has reported for EvictAfter.
func (a *allocators) evictIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, owned := range a.all {
		if now.Sub(owned.allocatedAt) >= a.service.options.EvictAfter {
			delete(a.all, id)
		}
	}
}
