package peertest

import (
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// transmit counts a message that a node sends and returns the fault to apply to it
// and its delay.
func (n *Network) transmit(from, to domain.Member, method peer.Method, reply bool, bytes int) (Action, time.Duration) {
	n.mu.Lock()
	key := countKey{from.Node, method}
	n.counts[key] = n.counts[key].add(bytes)
	dropped := n.cuts[link{from.Node, to.Node}] || n.consumeDropRule(from.Node, to.Node, method, reply)
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

// consumeDropRule reports whether a drop rule matches the message, and decrements
// the rule's remaining count. The lock must be held.
func (n *Network) consumeDropRule(from, to domain.NodeID, method peer.Method, reply bool) bool {
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

// target returns the node that a message is addressed to, nil if no incarnation of
// it exists, or ErrNotSent if only other incarnations exist.
func (n *Network) target(to domain.Member) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.find(to); node != nil {
		return node, nil
	}
	if len(n.incarnationsLocked(to.Node)) > 0 {
		return nil, fmt.Errorf("%w: %s: another incarnation is running", peer.ErrNotSent, to)
	}
	return nil, nil
}

// find returns the node with the given incarnation, or the latest incarnation for
// zero. The lock must be held.
func (n *Network) find(to domain.Member) *Node {
	if to.Incarnation != 0 {
		return n.nodes[incarnationKey{to.Node, to.Incarnation}]
	}
	var latest *Node
	for _, each := range n.incarnationsLocked(to.Node) {
		if latest == nil || each.self.Incarnation > latest.self.Incarnation {
			latest = each
		}
	}
	return latest
}
