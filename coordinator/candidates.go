package coordinator

import (
	"cmp"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// candidate is an alive member with its rendezvous score.
type candidate struct {
	member *domain.Member
	score  uint64
	chosen bool
}

// candidates returns the members that campaign for the lease of a group: the
// highest-scoring alive members in rendezvous order, spread over as many data
// centres as possible, so that one data centre cut off from the store does not hold
// all candidates.
func candidates(group string, members *membership.Snapshot, count int) []domain.Member {
	all := aliveCandidates(group, members)
	chosenPerDC := make(map[domain.DataCentre]int)
	chosen := make([]domain.Member, 0, count)
	for range min(count, len(all)) {
		best := nextCandidate(all, chosenPerDC)
		best.chosen = true
		chosenPerDC[best.member.DataCentre]++
		chosen = append(chosen, *best.member)
	}
	return chosen
}

// nextCandidate returns the highest-scoring unchosen member of the data centres
// with the fewest chosen members.
func nextCandidate(all []candidate, chosenPerDC map[domain.DataCentre]int) *candidate {
	var best *candidate
	for i := range all {
		c := &all[i]
		if !c.chosen && (best == nil || c.before(best, chosenPerDC)) {
			best = c
		}
	}
	return best
}

func (c *candidate) before(o *candidate, chosenPerDC map[domain.DataCentre]int) bool {
	return cmp.Or(
		cmp.Compare(chosenPerDC[c.member.DataCentre], chosenPerDC[o.member.DataCentre]),
		cmp.Compare(o.score, c.score),
		cmp.Compare(c.member.Node, o.member.Node),
	) < 0
}

func aliveCandidates(group string, members *membership.Snapshot) []candidate {
	alive := make([]candidate, 0, len(members.Peers))
	for i := range members.Peers {
		p := &members.Peers[i]
		if p.Status == membership.StatusAlive {
			alive = append(alive, candidate{member: &p.Member, score: rendezvous.Score(group, string(p.Node))})
		}
	}
	return alive
}
