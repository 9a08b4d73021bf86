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

// CutOneWay loses what from sends to to; the other direction works.
func (n *Network) CutOneWay(from, to domain.NodeID) {
	n.setCut(true, link{from, to})
}

// Partition cuts all links between nodes of different groups. Links within a
// group stay as they are.
func (n *Network) Partition(groups ...[]domain.NodeID) {
	var links []link
	for i, group := range groups {
		for _, other := range groups[i+1:] {
			links = append(links, between(group, other)...)
		}
	}
	n.setCut(true, links...)
}

// between returns the links of all pairs in both directions.
func between(as, bs []domain.NodeID) []link {
	var links []link
	for _, a := range as {
		for _, b := range bs {
			links = append(links, link{a, b}, link{b, a})
		}
	}
	return links
}

// Heal mends the links between two nodes in both directions.
func (n *Network) Heal(a, b domain.NodeID) {
	n.setCut(false, link{a, b}, link{b, a})
}

// HealAll mends all links. Pauses, crashes, drop rules and the interceptor stay.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	n.announce()
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
	n.announce()
}

// Intercept lets f decide about each message; nil for no interceptor.
func (n *Network) Intercept(f Interceptor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.intercept = f
}

// DropNext loses the next count requests of the method on the link.
func (n *Network) DropNext(from, to domain.NodeID, method peer.Method, count int) {
	n.addRule(&dropRule{from: from, to: to, method: method, remaining: count})
}

// DropNextReplies loses the next count replies that from sends to to for the
// method. The handlers will have run.
func (n *Network) DropNextReplies(from, to domain.NodeID, method peer.Method, count int) {
	n.addRule(&dropRule{from: from, to: to, method: method, reply: true, remaining: count})
}

func (n *Network) addRule(rule *dropRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, rule)
}

// Pause stops all lives of the node at their next send or receive: what they send
// or are sent waits, and their Calls do not return, until Resume. What was sent to
// a paused node is delivered when it wakes, also if the caller has given up.
// Timers and code that does not use the network go on; see AwaitResume.
func (n *Network) Pause(node domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.livesOf(node) {
		if !each.paused {
			each.paused = true
			each.awake = make(chan struct{})
		}
	}
	n.announce()
}

// Resume wakes all lives of the node.
func (n *Network) Resume(node domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.livesOf(node) {
		each.wake()
	}
	n.announce()
}

// AwaitResume returns when no life of the node is paused, or with the context's
// error. Fakes of other interfaces call it, so that a paused process is paused there too.
func (n *Network) AwaitResume(ctx context.Context, node domain.NodeID) error {
	for _, each := range n.lives(node) {
		if err := each.awaitAwake(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Crash ends all lives of the node: it can't be reached, its handlers' contexts
// are cancelled, replies on their way are lost and its own calls fail. A new Node
// with a later incarnation may take its place. The test must stop the code that
// used the transport.
func (n *Network) Crash(node domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.livesOf(node) {
		each.crashed = true
		each.wake()
		each.cancel()
		delete(n.nodes, life{each.self.Node, each.self.Incarnation})
	}
	n.announce()
}

// lives returns the lives of a node that are there.
func (n *Network) lives(node domain.NodeID) []*Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.livesOf(node)
}

// livesOf is lives with the lock held.
func (n *Network) livesOf(node domain.NodeID) []*Node {
	var lives []*Node
	for key, each := range n.nodes {
		if key.node == node {
			lives = append(lives, each)
		}
	}
	return lives
}
