package brittle

import (
	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// peerState is what a peer reported last.
type peerState struct {
	receivedAt boottime.Instant
	// places is the mean number of places that its callers need, by service.
	places map[string]float64
	// lent are the quarters of its share that it leaves to this node, by service.
	lent map[string]int
}

// newPeerState returns the state in a report to a node.
func newPeerState(now boottime.Instant, self domain.NodeID, report *gossip.Report) *peerState {
	state := &peerState{receivedAt: now, places: placesByService(report.Asked), lent: make(map[string]int)}
	for _, l := range report.Lent {
		if l.To == self {
			state.lent[l.Service] = min(max(l.Quarters, 0), maxQuarters)
		}
	}
	return state
}

func placesByService(asked []gossip.ServiceDemand) map[string]float64 {
	places := make(map[string]float64, len(asked))
	for _, a := range asked {
		places[a.Service] = a.Places()
	}
	return places
}

// current reports whether the state may be relied on. A missing state may not.
func (p *peerState) current(now boottime.Instant) bool {
	return p != nil && now.Sub(p.receivedAt) < lentFor
}
