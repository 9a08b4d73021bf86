package membership

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// Peer returns what is known of a node's latest life.
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

// StatusOf returns what is believed of a life; a life that a later one of its node
// has replaced is gone. The second result is false if nothing is known.
func (s *Snapshot) StatusOf(life domain.Member) (Status, bool) {
	p, ok := s.Peer(life.Node)
	if !ok || p.Incarnation < life.Incarnation {
		return 0, false
	}
	if p.Incarnation > life.Incarnation {
		return StatusGone, true
	}
	return p.Status, true
}

// SelfStatus returns the node's own status: leaving once it or the host list has
// said so, gone when a later life of it has been seen.
func (s *Snapshot) SelfStatus() Status {
	status, _ := s.StatusOf(s.Self)
	return status
}
