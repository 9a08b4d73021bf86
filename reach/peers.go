package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// peerEvidence is what another node reported about a service.
type peerEvidence struct {
	lost bool
	// heardAt is when the node heard from an endpoint of the service; toldAt when its report was received.
	heardAt, toldAt time.Time
}

// peers is what the other nodes report, and this node's experience with them as helpers.
type peers struct {
	// told is false as long as no node has reported anything, which is so most of the time.
	told atomic.Bool

	mu sync.Mutex
	// evidence is by service and node.
	evidence map[string]map[domain.NodeID]peerEvidence
	// dataCentres and addresses are from the nodes' last reports.
	dataCentres map[domain.NodeID]domain.DataCentre
	addresses   map[domain.NodeID]string
	// forwarded counts the requests that each node is serving for this one.
	forwarded map[domain.NodeID]int
	// avoidUntil is until when a node that failed as a helper is not asked again.
	avoidUntil map[domain.NodeID]time.Time
}

func newPeers() *peers {
	return &peers{
		evidence: make(map[string]map[domain.NodeID]peerEvidence), dataCentres: make(map[domain.NodeID]domain.DataCentre),
		addresses: make(map[domain.NodeID]string),
		forwarded: make(map[domain.NodeID]int), avoidUntil: make(map[domain.NodeID]time.Time),
	}
}

// apply records a report. A node that says nothing of a service any more has no evidence on it.
func (p *peers) apply(now time.Time, report *gossip.Report) {
	if len(report.Reach) == 0 && !p.told.Load() {
		return
	}
	p.told.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dataCentres[report.From], p.addresses[report.From] = report.DataCentre, report.Forwards
	for _, byNode := range p.evidence {
		delete(byNode, report.From)
	}
	if report.Leaving {
		return
	}
	for _, r := range report.Reach {
		byNode, ok := p.evidence[r.Service]
		if !ok {
			byNode = make(map[domain.NodeID]peerEvidence)
			p.evidence[r.Service] = byNode
		}
		byNode[report.From] = peerEvidence{lost: r.Lost, heardAt: now.Add(-time.Duration(r.AgeMillis) * time.Millisecond), toldAt: now}
	}
}

// wants reports whether another node has lost the service.
func (p *peers) wants(service string, now time.Time) bool {
	if !p.told.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.evidence[service] {
		if e.lost && now.Sub(e.toldAt) < lossValidity {
			return true
		}
	}
	return false
}

// remoteCost is the number of requests by which a helper of the node's own data centre may have more than another: traffic
// between data centres has a price.
const remoteCost = 2

// helper returns the node that serves the fewest requests of this one among those that reach the service, false if there is none.
func (p *peers) helper(service string, dataCentre domain.DataCentre, excluded []domain.NodeID, now time.Time) (Helper, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best []domain.NodeID
	least := 0
	for node, e := range p.evidence[service] {
		if e.lost || now.Sub(e.heardAt) >= evidenceValidity || now.Before(p.avoidUntil[node]) || p.addresses[node] == "" ||
			slices.Contains(excluded, node) {
			continue
		}
		cost := p.forwarded[node]
		if p.dataCentres[node] != dataCentre {
			cost += remoteCost
		}
		switch {
		case len(best) == 0 || cost < least:
			best, least = append(best[:0], node), cost
		case cost == least:
			best = append(best, node)
		}
	}
	if len(best) == 0 {
		return Helper{}, false
	}
	node := best[rand.IntN(len(best))]
	return Helper{Node: node, Address: p.addresses[node]}, true
}

// avoidHelperFor is how long a node that could not be reached or did not take a request in time is not asked again.
const avoidHelperFor = time.Second

func (p *peers) begin(node domain.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarded[node]++
}

func (p *peers) end(node domain.NodeID, failed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwarded[node]--; p.forwarded[node] <= 0 {
		delete(p.forwarded, node)
	}
	if failed {
		p.avoidUntil[node] = now.Add(avoidHelperFor)
	}
}

// sweep forgets nodes without current evidence.
func (p *peers) sweep(now time.Time) {
	if !p.told.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, byNode := range p.evidence {
		for node, e := range byNode {
			if now.Sub(e.toldAt) >= lossValidity {
				delete(byNode, node)
			}
		}
		if len(byNode) == 0 {
			delete(p.evidence, service)
		}
	}
	for node, until := range p.avoidUntil {
		if now.After(until) {
			delete(p.avoidUntil, node)
		}
	}
	if len(p.evidence) == 0 {
		clear(p.dataCentres)
		clear(p.addresses)
		p.told.Store(false)
	}
}
