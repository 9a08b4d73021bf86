package membership

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// ringKey is the rendezvous key of the ring. Hashing spreads nodes with similar names, which tend to fail together.
const ringKey = "ring"

// ring is an order of the responsive nodes of a data centre on which nodes with the same table agree.
type ring []domain.NodeID

func newRing(nodes []domain.NodeID) ring {
	return rendezvous.Order(ringKey, nodes, func(node domain.NodeID) string { return string(node) })
}

// successor returns the node at a distance from another one, or false if that is the node itself or it is not in the ring.
func (r ring) successor(of domain.NodeID, distance int) (domain.NodeID, bool) {
	at := slices.Index(r, of)
	if at < 0 || distance%len(r) == 0 {
		return "", false
	}
	return r[(at+distance)%len(r)], true
}

// pushTargets returns the nodes that forward a change of this node: those at the distances 1, base and base squared, where
// base is the cube root of the ring's size, rounded up. Every distance is a sum of at most 3 * (base - 1) of these.
func (r ring) pushTargets(of domain.NodeID) []domain.NodeID {
	base := 1
	for base*base*base < len(r) {
		base++
	}
	var targets []domain.NodeID
	for _, distance := range []int{1, base, base * base} {
		node, ok := r.successor(of, distance)
		if ok && !slices.Contains(targets, node) {
			targets = append(targets, node)
		}
	}
	return targets
}
