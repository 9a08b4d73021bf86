package endpointlimit

import (
	"math"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

const (
	// burstSeconds bounds what all nodes together may send an endpoint at once, in seconds of its limit.
	burstSeconds = 1.5
	// minPerSecond is the lowest rate enforced. It keeps requests going to an endpoint that accepts next to none, since only a
	// response can show that its limit has ended.
	minPerSecond = 0.1
)

// share is this node's part of an endpoint's limit, in requests a second; zero if other nodes have all of it.
//
// The limit is shared evenly by the nodes of the endpoint's data centre, which send it the most, and those of data centres that
// have no endpoint of its service; if there are none, by all nodes. Since each of them may send one request at once, their number
// is limited by burstSeconds. All nodes make the same choice from the nodes known, silent ones included, so nodes that don't
// receive each other's reports together stay within the limit.
func share(self domain.NodeID, e *directory.Endpoint, perSecond float64, members []domain.Member, all *directory.Snapshot) float64 {
	perSecond = max(perSecond, minPerSecond)
	sharing := sharingMembers(e, members, all)
	n := min(max(int(math.Floor(burstSeconds*perSecond)), 1), len(sharing))
	for _, m := range rendezvous.Order(string(e.Incarnation()), sharing, memberName)[:n] {
		if m.Node == self {
			return perSecond / float64(n)
		}
	}
	return 0
}

// sharingMembers returns the members that may share the endpoint's limit.
func sharingMembers(e *directory.Endpoint, members []domain.Member, all *directory.Snapshot) []domain.Member {
	served := make(map[domain.DataCentre]bool)
	for _, other := range all.Service(e.Service) {
		if !other.Leaving {
			served[other.DataCentre] = true
		}
	}
	var sharing []domain.Member
	for _, m := range members {
		if m.DataCentre == e.DataCentre || !served[m.DataCentre] {
			sharing = append(sharing, m)
		}
	}
	if len(sharing) == 0 {
		return members
	}
	return sharing
}

func memberName(m domain.Member) string { return string(m.Node) }
