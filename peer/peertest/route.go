package peertest

import (
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// pass counts a message that leaves its sender and says what happens to it and
// how long it is on its way.
func (n *Network) pass(from, to domain.Member, method peer.Method, reply bool, bytes int) (Action, time.Duration) {
	n.mu.Lock()
	key := countKey{from.Node, method}
	n.counts[key] = n.counts[key].add(bytes)
	dropped := n.cuts[link{from.Node, to.Node}] || n.applyRules(from.Node, to.Node, method, reply)
	intercept, delay := n.intercept, n.delay
	n.mu.Unlock()
	var action Action
	if intercept != nil {
		action = intercept(from.Node, to.Node, method, reply)
	}
	action.Drop = action.Drop || dropped
	wait := action.Delay
	if delay != nil {
		wait += delay(from, to)
	}
	return action, wait
}

// applyRules uses up a matching drop rule. The lock is held.
func (n *Network) applyRules(from, to domain.NodeID, method peer.Method, reply bool) bool {
	for _, rule := range n.rules {
		if rule.remaining > 0 && rule.matches(from, to, method, reply) {
			rule.remaining--
			return true
		}
	}
	return false
}

func (n *Network) isCut(from, to domain.NodeID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link{from, to}]
}

// target returns the node that the message is for, nil if there is none, or
// ErrNotSent if there are only other lives of it.
func (n *Network) target(to domain.Member) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.find(to); node != nil {
		return node, nil
	}
	if len(n.livesOf(to.Node)) > 0 {
		return nil, fmt.Errorf("%w: %s: another life answers", peer.ErrNotSent, to)
	}
	return nil, nil
}

// find returns the life addressed; incarnation zero finds the latest. The lock is
// held.
func (n *Network) find(to domain.Member) *Node {
	if to.Incarnation != 0 {
		return n.nodes[life{to.Node, to.Incarnation}]
	}
	var latest *Node
	for _, each := range n.livesOf(to.Node) {
		if latest == nil || each.self.Incarnation > latest.self.Incarnation {
			latest = each
		}
	}
	return latest
}
