package endpointlimit

import (
	"math"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
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
// The nodes of the endpoint's data centre share its limit evenly, since they send it the most; where there are none, all nodes
// do. Each of them may send one request at once, so that there are no more of them than burstSeconds allows. All nodes choose
// alike from the nodes known, those that are silent included: nodes that don't hear each other use no more together than
// the limit.
func share(self domain.NodeID, id domain.EndpointID, at domain.DataCentre, perSecond float64, members []gossip.Member) float64 {
	perSecond = max(perSecond, leastPerSecond)
	sharers := within(at, members)
	n := min(max(int(math.Floor(burstSeconds*perSecond)), 1), len(sharers))
	for _, m := range rendezvous.Order(string(id), sharers, memberName)[:n] {
		if m.Node == self {
			return perSecond / float64(n)
		}
	}
	return 0
}

// within returns the members of the data centre, or all if it has none.
func within(at domain.DataCentre, members []gossip.Member) []gossip.Member {
	var inside []gossip.Member
	for _, m := range members {
		if m.DataCentre == at {
			inside = append(inside, m)
		}
	}
	if len(inside) == 0 {
		return members
	}
	return inside
}

func memberName(m gossip.Member) string { return string(m.Node) }
