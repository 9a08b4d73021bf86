package node

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// living returns the nodes that have not crashed.
func (x *trial) living() []*runningNode {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	var living []*runningNode
	for _, n := range x.nodes {
		if !n.gate.isCrashed() {
			living = append(living, n)
		}
	}
	return living
}

// die ends a node's life without waiting, so that the node's own goroutines may
// call it.
func (x *trial) die(node domain.NodeID) {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if n := x.nodes[node]; n != nil && !n.gate.isCrashed() {
		n.kill(x.network)
		x.killed <- n
	}
}

// reborn starts the next life of a dead node.
func (x *trial) reborn(node domain.NodeID) { x.rebornAs(node, 1) }

// rebornAs starts a life of a dead node whose incarnation is so much higher.
func (x *trial) rebornAs(node domain.NodeID, step int) {
	x.cluster.mu.Lock()
	n := x.nodes[node]
	x.cluster.mu.Unlock()
	if !n.gate.isCrashed() {
		return
	}
	m := n.self
	m.Incarnation += domain.Incarnation(step)
	x.start(m)
	x.setStatus(m, membership.StatusAlive)
}
