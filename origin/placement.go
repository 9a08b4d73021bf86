package origin

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// placement distributes streams over a list of nodes.
type placement struct {
	members []domain.Member
	// dataCentres has the number of each member's data centre, counted from 0; there are count of them.
	dataCentres []int
	count       int
}

func newPlacement(members []domain.Member) *placement {
	p := &placement{members: members, dataCentres: make([]int, len(members))}
	numbers := make(map[domain.DataCentre]int)
	for i, m := range members {
		number, ok := numbers[m.DataCentre]
		if !ok {
			number = len(numbers)
			numbers[m.DataCentre] = number
		}
		p.dataCentres[i] = number
	}
	p.count = len(numbers)
	return p
}

// pick returns up to most members for the stream other than self, in an order on which all nodes with the same list agree: each
// next one is in one of the data centres that have the fewest so far, and of these has the highest score.
func (p *placement) pick(k StreamKey, self domain.NodeID, most int) []domain.Member {
	scores := make([]uint64, len(p.members))
	for i, m := range p.members {
		scores[i] = rendezvous.Score(string(k[:]), string(m.Node))
	}
	taken := make([]bool, len(p.members))
	perCentre := make([]int, p.count)
	var picked []domain.Member
	for range p.members {
		if len(picked) == most {
			break
		}
		best := -1
		for i := range p.members {
			if !taken[i] && (best < 0 || p.before(i, best, scores, perCentre)) {
				best = i
			}
		}
		taken[best] = true
		perCentre[p.dataCentres[best]]++
		if p.members[best].Node != self {
			picked = append(picked, p.members[best])
		}
	}
	return picked
}

// before reports whether member i precedes member j.
func (p *placement) before(i, j int, scores []uint64, perCentre []int) bool {
	a, b := perCentre[p.dataCentres[i]], perCentre[p.dataCentres[j]]
	switch {
	case a != b:
		return a < b
	case scores[i] != scores[j]:
		return scores[i] > scores[j]
	default:
		return p.members[i].Node < p.members[j].Node
	}
}

// same reports whether the list has the same incarnations of the same nodes at the same addresses.
func (p *placement) same(members []domain.Member) bool { return slices.Equal(p.members, members) }
