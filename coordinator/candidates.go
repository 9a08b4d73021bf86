package coordinator

import (
	"cmp"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// candidate is a living member with its rendezvous score.
type candidate struct {
	member *domain.Member
	score  uint64
	chosen bool
}

// candidates returns the members that campaign for a group's lease: the first of
// the living in rendezvous order, from as many data centres as there are, so that
// one data centre cut off from the store does not have them all.
func candidates(group string, members *membership.Snapshot, count int) []domain.Member {
	all := living(group, members)
	seen := make(map[domain.DataCentre]int)
	chosen := make([]domain.Member, 0, count)
	for range min(count, len(all)) {
		best := next(all, seen)
		best.chosen = true
		seen[best.member.DataCentre]++
		chosen = append(chosen, *best.member)
	}
	return chosen
}

// next returns the best that is not chosen, of the data centres that have fewest.
func next(all []candidate, seen map[domain.DataCentre]int) *candidate {
	var best *candidate
	for i := range all {
		c := &all[i]
		if !c.chosen && (best == nil || c.before(best, seen)) {
			best = c
		}
	}
	return best
}

func (c *candidate) before(o *candidate, seen map[domain.DataCentre]int) bool {
	return cmp.Or(
		cmp.Compare(seen[c.member.DataCentre], seen[o.member.DataCentre]),
		cmp.Compare(o.score, c.score),
		cmp.Compare(c.member.Node, o.member.Node),
	) < 0
}

// living returns the members that are alive.
func living(group string, members *membership.Snapshot) []candidate {
	alive := make([]candidate, 0, len(members.Peers))
	for i := range members.Peers {
		p := &members.Peers[i]
		if p.Status == membership.StatusAlive {
			alive = append(alive, candidate{member: &p.Member, score: rendezvous.Score(group, string(p.Node))})
		}
	}
	return alive
}
