package ledger

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// candidate is a member with the precomputed hash of its node.
type candidate struct {
	member   domain.Member
	nodeHash uint64
}

// candidates returns the eligible members with their hashes.
func (t *Table) candidates() []candidate {
	var list []candidate
	for _, m := range t.EligibleMembers() {
		list = append(list, candidate{m, hashNode(m.Node)})
	}
	return list
}

// topRanked returns the first candidate in rendezvous order for the key.
func topRanked(candidates []candidate, key KeyHash) (domain.Member, bool) {
	var best domain.Member
	var bestScore uint64
	for i, c := range candidates {
		if score := key.score(c.nodeHash); i == 0 || score > bestScore {
			best, bestScore = c.member, score
		}
	}
	return best, len(candidates) > 0
}

// ranked returns all candidates in rendezvous order for the key.
func ranked(candidates []candidate, key KeyHash) []domain.Member {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		return cmp.Compare(key.score(b.nodeHash), key.score(a.nodeHash))
	})
	members := make([]domain.Member, len(sorted))
	for i, c := range sorted {
		members[i] = c.member
	}
	return members
}

// Home returns the key's home, or false if the table has no eligible member.
func (t *Table) Home(key domain.RequestKey) (domain.Member, bool) {
	return topRanked(t.candidates(), hashKey(key))
}
