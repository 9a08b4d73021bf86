package peertest

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Cut cuts the links between two nodes in both directions.
func (n *Network) Cut(a, b domain.NodeID) {
	n.setCut(true, link{a, b}, link{b, a})
}

// CutOneWay cuts the link for messages sent by from to to; the opposite direction
// stays open.
func (n *Network) CutOneWay(from, to domain.NodeID) {
	n.setCut(true, link{from, to})
}

// Partition cuts all links between nodes of different groups. Links within a
// group are not changed.
func (n *Network) Partition(groups ...[]domain.NodeID) {
	var links []link
	for i, group := range groups {
		for _, other := range groups[i+1:] {
			links = append(links, between(group, other)...)
		}
	}
	n.setCut(true, links...)
}

// between returns the links, in both directions, of all pairs of nodes of the two
// groups.
func between(as, bs []domain.NodeID) []link {
	var links []link
	for _, a := range as {
		for _, b := range bs {
			links = append(links, link{a, b}, link{b, a})
		}
	}
	return links
}

// Heal restores the links between two nodes in both directions.
func (n *Network) Heal(a, b domain.NodeID) {
	n.setCut(false, link{a, b}, link{b, a})
}

// HealAll restores all links. Pauses, crashes, drop rules and the interceptor are
// kept.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	n.notifyChanged()
}

func (n *Network) setCut(cut bool, links ...link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		if cut {
			n.cuts[l] = true
			continue
		}
		delete(n.cuts, l)
	}
	n.notifyChanged()
}

// Intercept calls f for each message sent; nil removes the interceptor.
func (n *Network) Intercept(f Interceptor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.intercept = f
}

// DropNext drops the next count requests for the method that from sends to to.
func (n *Network) DropNext(from, to domain.NodeID, method peer.Method, count int) {
	n.addRule(&dropRule{from: from, to: to, method: method, remaining: count})
}

// DropNextReplies drops the next count replies that from sends to to for the
// method. Their handlers have run by then.
func (n *Network) DropNextReplies(from, to domain.NodeID, method peer.Method, count int) {
	n.addRule(&dropRule{from: from, to: to, method: method, reply: true, remaining: count})
}

func (n *Network) addRule(rule *dropRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, rule)
}

// Pause blocks all incarnations of the node at their next send or receive: messages
// from and to the node wait, and its Calls do not return, until Resume. Messages
// sent to a paused node are delivered after Resume even if their callers have
// timed out by then. Timers and code that does not use the network keep running;
// see AwaitResume.
func (n *Network) Pause(node domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.incarnationsLocked(node) {
		if !each.paused {
			each.paused = true
			each.resumed = make(chan struct{})
		}
	}
	n.notifyChanged()
}

// Resume ends the pause of all incarnations of the node.
func (n *Network) Resume(node domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.incarnationsLocked(node) {
		each.resume()
	}
	n.notifyChanged()
}

// AwaitResume blocks until no incarnation of the node is paused, or returns the
// context's error. Fakes of other interfaces call it, so that a paused process also
// blocks in those.
func (n *Network) AwaitResume(ctx context.Context, node domain.NodeID) error {
	for _, each := range n.incarnations(node) {
		if err := each.awaitResumed(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Crash ends all incarnations of the node: the node is unreachable, the contexts of
// its handlers are cancelled, replies in flight are lost and its own calls fail. A
// Node with a later incarnation may replace it. The test must stop the code that
// used the transport of the crashed node.
func (n *Network) Crash(node domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.incarnationsLocked(node) {
		each.crashed = true
		each.resume()
		each.cancel()
		delete(n.nodes, incarnationKey{each.self.Node, each.self.Incarnation})
	}
	n.notifyChanged()
}

// incarnations returns the incarnations of a node that have not crashed.
func (n *Network) incarnations(node domain.NodeID) []*Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnationsLocked(node)
}

// incarnationsLocked is like incarnations, for callers that hold the lock.
func (n *Network) incarnationsLocked(node domain.NodeID) []*Node {
	var found []*Node
	for key, each := range n.nodes {
		if key.node == node {
			found = append(found, each)
		}
	}
	return found
}
