package document

import (
	"fmt"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// treeChildren returns to whom a member of a data centre hands an announcement
// on. The tree has the root's node first and the others in an order that differs
// by generation and root, so that no node is always in the middle.
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
