package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// rendezvous returns the first count nodes in rendezvous order for the key. Nodes
// that agree on the set agree on the answer, and when a node comes or goes only
// the keys that it had or gets change hands.
func rendezvous(key string, nodes []domain.NodeID, count int) []domain.NodeID {
	ranked := slices.Clone(nodes)
	score := func(node domain.NodeID) uint64 { return xxhash.Sum64String(key + "\x00" + string(node)) }
	slices.SortFunc(ranked, func(a, b domain.NodeID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}
