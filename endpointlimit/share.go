package endpointlimit

import (
	"math"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

const (
	// burstSeconds bounds what the nodes together may send an endpoint at once, in seconds of its limit.
	burstSeconds = 1.5
	// leastPerSecond is sent to an endpoint that takes next to nothing, so that the end of its limit is heard of.
	leastPerSecond = 0.1
)

// share is the part of an endpoint's limit that is this node's, in requests a second; zero if all of it is others'.
//
// The nodes of the endpoint's data centre share its limit evenly, since they send it the most, with those of data centres that
// have no endpoint of its service; where there are none of either, all nodes do. Each of them may send one request at once,
// so that there are no more of them than burstSeconds allows. All nodes choose alike from the nodes known, those that are silent
// included: nodes that don't hear each other use no more together than the limit.
func share(self domain.NodeID, e *directory.Endpoint, perSecond float64, members []domain.Member, all *directory.Snapshot) float64 {
	perSecond = max(perSecond, leastPerSecond)
	sharers := sharersOf(e, members, all)
	n := min(max(int(math.Floor(burstSeconds*perSecond)), 1), len(sharers))
	for _, m := range rendezvous.Order(string(e.Incarnation()), sharers, memberName)[:n] {
		if m.Node == self {
			return perSecond / float64(n)
		}
	}
	return 0
}

// sharersOf returns the members that may share the endpoint's limit.
func sharersOf(e *directory.Endpoint, members []domain.Member, all *directory.Snapshot) []domain.Member {
	served := make(map[domain.DataCentre]bool)
	for _, other := range all.Service(e.Service) {
		if !other.Leaving {
			served[other.DataCentre] = true
		}
	}
	var sharers []domain.Member
	for _, m := range members {
		if m.DataCentre == e.DataCentre || !served[m.DataCentre] {
			sharers = append(sharers, m)
		}
	}
	if len(sharers) == 0 {
		return members
	}
	return sharers
}

func memberName(m domain.Member) string { return string(m.Node) }
