package limits

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// targetShare returns the share of a limit for a node that wants some. If the total
// demand is within the limit, each node gets half of its demand plus one in addition,
// at most an even part of the surplus; otherwise the limit is divided in proportion
// to demand. Phase, between 0 and 1, decides which nodes get the indivisible
// remainders.
func targetShare(limit int, all totals, wanted int, phase float64) int {
	if wanted <= 0 {
		return 0
	}
	if all.wanted <= limit {
		spare := (limit - all.wanted) / max(all.nodes, 1)
		return wanted + min(wanted/2+1, spare)
	}
	exact := float64(limit) * float64(wanted) / float64(all.wanted)
	whole := math.Floor(exact)
	if phase < exact-whole {
		whole++
	}
	if limit >= all.nodes {
		whole = max(whole, 1)
	}
	return int(whole)
}

// rotationPhase returns a number between 0 and 1 that differs between nodes and
// changes with the rotation.
func rotationPhase(organisation domain.OrganisationID, node domain.NodeID, rotation uint64) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(organisation))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(node))
	offset := float64(h.Sum64()>>11) / (1 << 53)
	// Multiples of the golden ratio distribute the phases of one node evenly over
	// time.
	_, part := math.Modf(offset + float64(rotation)*(math.Phi-1))
	return part
}
