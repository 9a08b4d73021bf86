package node

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// runningNodes returns the nodes that have not crashed.
func (x *trial) runningNodes() []*runningNode {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	var running []*runningNode
	for _, n := range x.nodes {
		if !n.gate.isCrashed() {
			running = append(running, n)
		}
	}
	return running
}

// crashAsync crashes a node without waiting for it to end, so that it can be called
// from the node's own goroutines.
func (x *trial) crashAsync(node domain.NodeID) {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if n := x.nodes[node]; n != nil && !n.gate.isCrashed() {
		n.kill(x.network)
		x.crashed <- n
	}
}

// restart starts the next incarnation of a crashed node.
func (x *trial) restart(node domain.NodeID) { x.restartAs(node, 1) }

// restartAs restarts a crashed node with its incarnation changed by step.
func (x *trial) restartAs(node domain.NodeID, step int) {
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
