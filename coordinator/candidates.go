package coordinator

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// candidates returns the members that campaign for a group's lease: the first of
// the living in rendezvous order, from as many data centres as there are, so that
// one data centre cut off from the store does not have them all.
func candidates(group string, members *membership.Snapshot, count int) []domain.Member {
	ranked := ranking(group, living(members))
	seen := make(map[domain.DataCentre]int)
	chosen := make([]domain.Member, 0, count)
	for round := 0; len(chosen) < min(count, len(ranked)); round++ {
		for _, m := range ranked {
			if seen[m.DataCentre] == round && len(chosen) < count && !slices.Contains(chosen, m) {
				seen[m.DataCentre]++
				chosen = append(chosen, m)
			}
		}
	}
	return chosen
}

// living returns the members that are alive, each once.
func living(members *membership.Snapshot) []domain.Member {
	var alive []domain.Member
	for _, p := range members.Peers {
		if p.Status == membership.StatusAlive {
			alive = append(alive, p.Member)
		}
	}
	return alive
}

// ranking returns the members in rendezvous order for the key. It computes each
// score once: a fleet has a thousand members, and all groups are ranked when one
// comes or goes.
func ranking(key string, members []domain.Member) []domain.Member {
	type scored struct {
		score  uint64
		member *domain.Member
	}
	all := make([]scored, len(members))
	for i := range members {
		all[i] = scored{rendezvous.Score(key, string(members[i].Node)), &members[i]}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Node, b.member.Node))
	})
	ranked := make([]domain.Member, len(all))
	for i, s := range all {
		ranked[i] = *s.member
	}
	return ranked
}
