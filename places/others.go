package places

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// peerLoads is what a peer has outstanding.
type peerLoads struct {
	heard    time.Time
	freshFor time.Duration
	loads    map[domain.EndpointID]load
	// asked is what is asked of the peer, by service, in milliseconds of a place.
	asked map[string]int
}

func (d *Desk) othersAt(id domain.EndpointID) load {
	var sum load
	for _, p := range d.peers {
		sum.add(p.loads[id])
	}
	return sum
}

// Fill adds this node's outstanding requests to a report.
func (d *Desk) Fill(report *gossip.Report) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, p := range d.pools {
		if millis := p.demand.placeMillis(now); millis > 0 {
			report.Asked = append(report.Asked, gossip.ServiceDemand{Service: service, PlaceMillis: millis})
		}
		for id, a := range p.accounts {
			if a.trouble(now) {
				report.Failed = append(report.Failed, id)
			}
			if a.own.requests == 0 {
				continue
			}
			report.Loads = append(report.Loads, gossip.Load{
				Endpoint:      id,
				Requests:      a.own.requests,
				PrefillTokens: a.own.prefillTokens,
				PromptTokens:  a.own.promptTokens,
				AnswerTokens:  a.own.answerTokens,
				TokenMicros:   a.pace.ownMicros(now),
			})
		}
	}
}

// Heard takes a peer's outstanding requests.
func (d *Desk) Heard(report *gossip.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.follow()
	d.expire(now)
	next := &peerLoads{
		heard: now, freshFor: report.Validity(),
		loads: make(map[domain.EndpointID]load, len(report.Loads)), asked: make(map[string]int, len(report.Asked)),
	}
	for _, a := range report.Asked {
		next.asked[a.Service] = a.PlaceMillis
	}
	for _, l := range report.Loads {
		next.loads[l.Endpoint] = loadOf(l)
	}
	d.reportedAt = now
	d.replace(report.From, next)
	for _, id := range report.Failed {
		d.adjust(id, func(a *account) { a.shun(now) })
	}
	d.handAll(now)
}

// expire drops the reports of silent peers.
func (d *Desk) expire(now time.Time) {
	for id, p := range d.peers {
		if now.Sub(p.heard) > p.freshFor {
			d.replace(id, nil)
		}
	}
}

func (d *Desk) replace(id domain.NodeID, next *peerLoads) {
	if old, ok := d.peers[id]; ok {
		for endpoint, l := range old.loads {
			d.adjust(endpoint, func(a *account) { a.others.subtract(l) })
		}
		delete(d.peers, id)
	}
	if next == nil {
		return
	}
	for endpoint, l := range next.loads {
		d.adjust(endpoint, func(a *account) {
			a.others.add(l)
			a.pace.hear(next.heard, a.others)
		})
	}
	d.peers[id] = next
}

func (d *Desk) adjust(id domain.EndpointID, edit func(*account)) {
	for _, p := range d.pools {
		if a, ok := p.accounts[id]; ok {
			edit(a)
			a.refresh()
			return
		}
	}
}

// shareOf is the part of what is asked of a service in the whole fleet that is asked of this node, zero if nothing is.
func (d *Desk) shareOf(p *pool, now time.Time) float64 {
	own := p.demand.placeMillis(now)
	all := own
	for _, peer := range d.peers {
		all += peer.asked[p.service]
	}
	return float64(own) / float64(max(all, 1))
}
