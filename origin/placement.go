package origin

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// nodes is a list of nodes over which streams are distributed.
type placement struct {
	members []domain.Member
	// dataCentres has the number of each member's data centre, counted from 0; there are count of them.
	dataCentres []int
	count       int
}

func newPlacement(members []domain.Member) *placement {
	n := &placement{members: members, dataCentres: make([]int, len(members))}
	numbers := make(map[domain.DataCentre]int)
	for i, m := range members {
		number, ok := numbers[m.DataCentre]
		if !ok {
			number = len(numbers)
			numbers[m.DataCentre] = number
		}
		n.dataCentres[i] = number
	}
	n.count = len(numbers)
	return n
}

// chosen returns up to most members for the stream other than self, in an order on which all nodes with the same list agree: each
// next one is in one of the data centres that have the fewest so far, and of these has the highest score.
func (n *placement) pick(k StreamKey, self domain.NodeID, most int) []domain.Member {
	scores := make([]uint64, len(n.members))
	for i, m := range n.members {
		scores[i] = rendezvous.Score(string(k[:]), string(m.Node))
	}
	taken := make([]bool, len(n.members))
	perCentre := make([]int, n.count)
	var chosen []domain.Member
	for range n.members {
		if len(chosen) == most {
			break
		}
		best := -1
		for i := range n.members {
			if !taken[i] && (best < 0 || n.before(i, best, scores, perCentre)) {
				best = i
			}
		}
		taken[best] = true
		perCentre[n.dataCentres[best]]++
		if n.members[best].Node != self {
			chosen = append(chosen, n.members[best])
		}
	}
	return chosen
}

// before reports whether member i is chosen before member j.
func (n *placement) before(i, j int, scores []uint64, perCentre []int) bool {
	a, b := perCentre[n.dataCentres[i]], perCentre[n.dataCentres[j]]
	switch {
	case a != b:
		return a < b
	case scores[i] != scores[j]:
		return scores[i] > scores[j]
	default:
		return n.members[i].Node < n.members[j].Node
	}
}

// same reports whether the list has the same incarnations of the same nodes at the same addresses.
func (n *placement) same(members []domain.Member) bool {
	if len(n.members) != len(members) {
		return false
	}
	for i, m := range members {
		if n.members[i] != m {
			return false
		}
	}
	return true
}
