package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// nodeState is an owner's state of one node for an organisation.
type nodeState struct {
	incarnation domain.Incarnation
	sequence    uint64
	// committed is the maximum number of requests that the node may have in flight
	// now as far as the owner knows. It can exceed the last share, as the reply that
	// reduced the share may have been lost.
	committed  int
	wanted     int
	tokens     int
	reportedAt time.Time
}

// totals are sums over all nodes of an organisation.
type totals struct {
	// nodes counts the nodes that want a share.
	nodes     int
	wanted    int
	committed int
	tokens    int
}

// add adds a node's state, or subtracts it with sign -1.
func (s *totals) add(h *nodeState, sign int) {
	if h.wanted > 0 {
		s.nodes += sign
	}
	s.wanted += sign * h.wanted
	s.committed += sign * h.committed
	s.tokens += sign * h.tokens
}

// isStale reports whether a demand is older than the recorded state.
func (h *nodeState) isStale(incarnation domain.Incarnation, sequence uint64) bool {
	if incarnation != h.incarnation {
		return incarnation < h.incarnation
	}
	return sequence <= h.sequence
}
