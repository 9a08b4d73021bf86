package membership

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

func ringOf(size int) ring {
	var nodes []domain.NodeID
	for i := range size {
		nodes = append(nodes, nodeID(dcID(0), i))
	}
	return newRing(nodes)
}

// hops returns the number of pushes one after the other until every node of the ring has a change of its first node, except
// for the given number of nodes that follow it and have failed. It returns false if pushes don't reach all.
func hops(r ring, failed int) (int, bool) {
	reached := map[domain.NodeID]bool{r[0]: true}
	for i := range failed {
		reached[r[1+i]] = true
	}
	last := []domain.NodeID{r[0]}
	for n := 0; ; n++ {
		if len(reached) == len(r) {
			return n, true
		}
		var next []domain.NodeID
		for _, node := range last {
			for _, to := range r.pushTargets(node) {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) == 0 {
			return n, false
		}
		last = next
	}
}

func cubeRoot(size int) int {
	base := 1
	for base*base*base < size {
		base++
	}
	return base
}

func TestPushesReachAllNodesWithinTheDerivedHops(t *testing.T) {
	for size := 1; size <= 300; size++ {
		n, ok := hops(ringOf(size), 0)
		assert.Assert(t, ok && n <= 3*(cubeRoot(size)-1), "%d nodes", size)
	}
}

func TestPushesReachAllNodesPastFailedNeighbours(t *testing.T) {
	for _, size := range []int{24, 48, 100, 200} {
		for failed := 1; failed < cubeRoot(size)*cubeRoot(size)-1; failed++ {
			n, ok := hops(ringOf(size), failed)
			assert.Assert(t, ok && n <= 3*cubeRoot(size), "%d of %d nodes", failed, size)
		}
	}
}

func TestPushTargetsAreAtMostThreeOthers(t *testing.T) {
	for size := 1; size <= 300; size++ {
		r := ringOf(size)
		for _, node := range r {
			targets := r.pushTargets(node)
			assert.Assert(t, len(targets) <= 3 && !slices.Contains(targets, node), "%d nodes", size)
		}
	}
}

func TestSuccessor(t *testing.T) {
	r := ringOf(3)
	second, ok := r.successor(r[0], 1)
	assert.Assert(t, ok)
	assert.Equal(t, second, r[1])
	first, ok := r.successor(r[2], 1)
	assert.Assert(t, ok)
	assert.Equal(t, first, r[0])
	_, ok = r.successor(r[0], 3)
	assert.Assert(t, !ok, "a node is not its own successor")
	_, ok = r.successor("unknown", 1)
	assert.Assert(t, !ok)
}
