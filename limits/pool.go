package limits

// readyFactor is how many times the number of nodes a limit on requests must be for
// each node to have one request of its own, which needs no owner: no more than an
// eighth of the limit is divided so.
const readyFactor = 8

// ready returns how many requests each node may always have in flight.
func ready(limit, nodes int) int {
	if limit >= readyFactor*max(nodes, 1) {
		return 1
	}
	return 0
}

// pool returns the part of a limit that its owner shares by demand.
func pool(limit, nodes int) int {
	return max(limit, 0) - ready(limit, nodes)*max(nodes, 1)
}

// equalPart returns a node's part of a limit when it can't be shared by demand, at
// least one.
func equalPart(limit, nodes int) int {
	nodes = max(nodes, 1)
	return (limit + nodes - 1) / nodes
}
