package membership

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// Peer returns the latest known incarnation of a node and its status.
func (s *Snapshot) Peer(node domain.NodeID) (Peer, bool) {
	at, found := slices.BinarySearchFunc(s.Peers, node, func(p Peer, node domain.NodeID) int {
		if p.Node < node {
			return -1
		}
		if p.Node > node {
			return 1
		}
		return 0
	})
	if !found {
		return Peer{}, false
	}
	return s.Peers[at], true
}

// StatusOf returns the status of a member. A member that a later incarnation of
// its node has replaced is gone. The second result is false if the member is not
// known.
func (s *Snapshot) StatusOf(member domain.Member) (Status, bool) {
	p, ok := s.Peer(member.Node)
	if !ok || p.Incarnation < member.Incarnation {
		return 0, false
	}
	if p.Incarnation > member.Incarnation {
		return StatusGone, true
	}
	return p.Status, true
}

// SelfStatus returns the node's own status: leaving once the node or the host
// list has announced it, gone once a later incarnation has been seen.
func (s *Snapshot) SelfStatus() Status {
	status, _ := s.StatusOf(s.Self)
	return status
}
