// Package membership tells which nodes are alive, leaving or cut off, from the
// platform's lagging host list and from the peers' own word.
package membership

import "hawthornrill.example/hawthornrill/domain"

// Status is what this node believes of a peer.
type Status uint8

const (
	// StatusAlive peers answer.
	StatusAlive Status = iota
	// StatusLeaving peers answer and finish what they have, but take nothing new.
	StatusLeaving
	// StatusUnreachable peers do not answer; they may be dead, paused or cut off.
	StatusUnreachable
	// StatusGone peers have said farewell or are off the host list; the life ended.
	StatusGone
)

// Peer is a member with what this node believes of it.
type Peer struct {
	domain.Member
	Status Status `json:"status"`
}

// Snapshot is an immutable view. Peers are sorted by node and include the node
// itself; of each node there is the latest life that is known. A host that is
// listed and has never answered has incarnation zero.
type Snapshot struct {
	Self  domain.Member `json:"self"`
	Peers []Peer        `json:"peers"`
}

// View gives the current snapshot without locking. The snapshot must not be changed.
type View interface {
	Current() *Snapshot
}
