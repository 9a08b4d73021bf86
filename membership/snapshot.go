package membership

import "hawthornrill.example/hawthornrill/domain"

// Status is the state of a peer as this node sees it.
type Status uint8

const (
	// StatusAlive peers answer.
	StatusAlive Status = iota
	// StatusLeaving peers answer and finish their current work, but accept no new
	// work.
	StatusLeaving
	// StatusUnreachable peers do not answer; they may be stopped, paused or
	// partitioned.
	StatusUnreachable
	// StatusGone peers have ended: they have announced it, or are unreachable and
	// absent from the host list.
	StatusGone
)

// Peer is a member and its status.
type Peer struct {
	domain.Member
	Status Status `json:"status"`
}

// Snapshot is an immutable view. Peers are sorted by node and include the node
// itself, each with its latest known incarnation. Incarnation zero stands for a
// host that is listed and has never answered.
type Snapshot struct {
	Self  domain.Member `json:"self"`
	Peers []Peer        `json:"peers"`
}

// View returns the current snapshot without locking. The snapshot must not be
// modified.
type View interface {
	Current() *Snapshot
}
