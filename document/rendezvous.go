package document

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// ranked returns the members in rendezvous-hashing order for the key. Nodes with the
// same set of members compute the same order.
func ranked(key string, members []domain.Member) []domain.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b domain.Member) int {
		if c := cmp.Compare(score(key, b.Node), score(key, a.Node)); c != 0 {
			return c
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return sorted
}

func score(key string, node domain.NodeID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(node))
}
