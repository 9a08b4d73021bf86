package places

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// peerReport is a peer's outstanding load and demand.
type peerReport struct {
	receivedAt time.Time
	freshFor   time.Duration
	loads      map[domain.EndpointID]load
	// demandMillis is the demand at the peer by service, in slot-milliseconds.
	demandMillis map[string]int
}

func (a *Allocator) peerLoadAt(id domain.EndpointID) load {
	var sum load
	for _, p := range a.peers {
		sum.add(p.loads[id])
	}
	return sum
}

// FillReport adds this node's outstanding requests, demand and failed endpoints to a report.
func (a *Allocator) FillReport(report *gossip.Report) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for service, p := range a.pools {
		if millis := p.demand.slotMillis(now); millis > 0 {
			report.Asked = append(report.Asked, gossip.ServiceDemand{Service: service, PlaceMillis: millis})
		}
		for id, ep := range p.endpoints {
			if ep.reportsFailure(now) {
				report.Failed = append(report.Failed, id)
			}
			if ep.reportsNotReached(now) {
				report.NotReached = append(report.NotReached, gossip.UnreachedEndpoint{
					Endpoint: id, AgeMillis: int(now.Sub(ep.failedAt).Milliseconds()),
				})
			}
			if ep.ownLoad.requests == 0 {
				continue
			}
			report.Loads = append(report.Loads, gossip.Load{
				Endpoint:      id,
				Requests:      ep.ownLoad.requests,
				PrefillTokens: ep.ownLoad.prefillTokens,
				PromptTokens:  ep.ownLoad.promptTokens,
				AnswerTokens:  ep.ownLoad.answerTokens,
				TokenMicros:   ep.tokenTime.ownMicros(now),
			})
		}
	}
}

// ApplyReport applies a peer's report.
func (a *Allocator) ApplyReport(report *gossip.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.syncDirectory()
	a.expirePeers(now)
	next := &peerReport{
		receivedAt: now, freshFor: report.Validity(),
		loads: make(map[domain.EndpointID]load, len(report.Loads)), demandMillis: make(map[string]int, len(report.Asked)),
	}
	for _, asked := range report.Asked {
		next.demandMillis[asked.Service] = asked.PlaceMillis
	}
	for _, l := range report.Loads {
		next.loads[l.Endpoint] = loadFromReport(l)
	}
	a.reportedAt = now
	a.replacePeerReport(report.From, next)
	for _, id := range report.Failed {
		a.updateEndpoint(id, func(ep *trackedEndpoint) { ep.avoid(now, report.From) })
	}
	a.applyNotReached(now, report)
	a.grantAllWaiting(now)
}

// applyNotReached records which endpoints the sender does not reach. If it reaches none of a service, its links are the likelier
// cause, and what it says of that service's endpoints does not count.
func (a *Allocator) applyNotReached(now time.Time, report *gossip.Report) {
	lost := make(map[string]bool)
	for _, r := range report.Reach {
		if r.Lost {
			lost[r.Service] = true
			a.forgetUnreached(r.Service, report.From)
		}
	}
	for _, u := range report.NotReached {
		a.updateEndpoint(u.Endpoint, func(ep *trackedEndpoint) {
			if !lost[ep.endpoint.Service] {
				ep.recordUnreached(now, report.From, time.Duration(u.AgeMillis)*time.Millisecond)
			}
		})
	}
}

func (a *Allocator) forgetUnreached(service string, from domain.NodeID) {
	if p, ok := a.pools[service]; ok {
		for _, ep := range p.endpointList {
			delete(ep.unreachedBy, from)
		}
	}
}

// expirePeers drops the reports of peers that have stopped reporting.
func (a *Allocator) expirePeers(now time.Time) {
	for id, p := range a.peers {
		if now.Sub(p.receivedAt) > p.freshFor {
			a.replacePeerReport(id, nil)
		}
	}
}

func (a *Allocator) replacePeerReport(id domain.NodeID, next *peerReport) {
	if old, ok := a.peers[id]; ok {
		for endpoint, l := range old.loads {
			a.updateEndpoint(endpoint, func(ep *trackedEndpoint) { ep.peerLoad.subtract(l) })
		}
		delete(a.peers, id)
	}
	if next == nil {
		return
	}
	for endpoint, l := range next.loads {
		a.updateEndpoint(endpoint, func(ep *trackedEndpoint) {
			ep.peerLoad.add(l)
			ep.tokenTime.addReported(next.receivedAt, ep.peerLoad)
		})
	}
	a.peers[id] = next
}

func (a *Allocator) updateEndpoint(id domain.EndpointID, edit func(*trackedEndpoint)) {
	for _, p := range a.pools {
		if ep, ok := p.endpoints[id]; ok {
			edit(ep)
			ep.refreshState()
			return
		}
	}
}

// demandShare is this node's fraction of the fleet's demand for a service, zero if there is none.
func (a *Allocator) demandShare(p *pool, now time.Time) float64 {
	own := p.demand.slotMillis(now)
	all := own
	for _, peer := range a.peers {
		all += peer.demandMillis[p.service]
	}
	return float64(own) / float64(max(all, 1))
}
