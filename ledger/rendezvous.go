package ledger

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// candidate is a life with its node's part of the score worked out.
type candidate struct {
	member domain.Member
	node   uint64
}

// candidates returns the eligible members ready to be ranked.
func (t *Table) candidates() []candidate {
	var list []candidate
	for _, m := range t.EligibleMembers() {
		list = append(list, candidate{m, hashNode(m.Node)})
	}
	return list
}

// first returns the first candidate in rendezvous order for the key.
func first(candidates []candidate, key KeyHash) (domain.Member, bool) {
	var best domain.Member
	var bestScore uint64
	for i, c := range candidates {
		if score := key.score(c.node); i == 0 || score > bestScore {
			best, bestScore = c.member, score
		}
	}
	return best, len(candidates) > 0
}

// order returns all candidates in rendezvous order for the key.
func order(candidates []candidate, key KeyHash) []domain.Member {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		return cmp.Compare(key.score(b.node), key.score(a.node))
	})
	members := make([]domain.Member, len(sorted))
	for i, c := range sorted {
		members[i] = c.member
	}
	return members
}

// Home returns the member that decides about the key, or false if the table has
// no eligible member.
func (t *Table) Home(key domain.RequestKey) (domain.Member, bool) {
	return first(t.candidates(), hashKey(key))
}
