package document

import (
	"fmt"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// treeChildren returns the members to which self forwards an announcement in the
// broadcast tree of its data centre. The order of the members below the root
// depends on the root and the generation, so that no node is an inner node of
// every tree.
func treeChildren(root, self domain.NodeID, generation uint64, members []domain.Member, fanout int) []domain.Member {
	others := slices.DeleteFunc(slices.Clone(members), func(m domain.Member) bool { return m.Node == root })
	order := ranked(fmt.Sprintf("%s/%d", root, generation), others)
	position := 0
	if self != root {
		position = 1 + slices.IndexFunc(order, func(m domain.Member) bool { return m.Node == self })
		if position == 0 {
			return nil
		}
	}
	// Position 0 is the root; order[i] has position i+1.
	first := min(position*fanout, len(order))
	last := min(first+fanout, len(order))
	return order[first:last]
}
