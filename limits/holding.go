package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// holding is what an owner knows of one node's part of an organisation.
type holding struct {
	incarnation domain.Incarnation
	sequence    uint64
	// committed is the most requests that the node may have in flight now, as far as
	// the owner knows: a reply that gave less may have been lost.
	committed int
	wanted    int
	tokens    int
	at        time.Time
}

// sums are over all holdings of an organisation.
type sums struct {
	// nodes counts those that want some.
	nodes     int
	wanted    int
	committed int
	tokens    int
}

// add counts a holding in, or out with sign -1.
func (s *sums) add(h *holding, sign int) {
	if h.wanted > 0 {
		s.nodes += sign
	}
	s.wanted += sign * h.wanted
	s.committed += sign * h.committed
	s.tokens += sign * h.tokens
}

// outdated reports whether a demand is older than what is known.
func (h *holding) outdated(incarnation domain.Incarnation, sequence uint64) bool {
	if incarnation != h.incarnation {
		return incarnation < h.incarnation
	}
	return sequence <= h.sequence
}
