package limits

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// target returns how many requests a node that wants some should be given of a
// limit. If there is enough for all, each gets half as much again and one more, as
// long as that lasts; else it is divided by demand. Turn is between 0 and 1 and
// decides who gets the parts that can't be divided.
func target(limit int, all sums, wanted int, turn float64) int {
	if wanted <= 0 {
		return 0
	}
	if all.wanted <= limit {
		spare := (limit - all.wanted) / max(all.nodes, 1)
		return wanted + min(wanted/2+1, spare)
	}
	exact := float64(limit) * float64(wanted) / float64(all.wanted)
	whole := math.Floor(exact)
	if turn < exact-whole {
		whole++
	}
	if limit >= all.nodes {
		whole = max(whole, 1)
	}
	return int(whole)
}

// turn returns a number between 0 and 1 that differs between nodes and changes with
// the round.
func turn(organisation domain.OrganisationID, node domain.NodeID, round uint64) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(organisation))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(node))
	offset := float64(h.Sum64()>>11) / (1 << 53)
	// The golden ratio's multiples spread the turns of one node evenly over time.
	_, part := math.Modf(offset + float64(round)*(math.Phi-1))
	return part
}
