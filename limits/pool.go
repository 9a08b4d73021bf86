package limits

// reservedFactor is the minimum ratio of a limit on requests to the number of nodes
// at which each node has one reserved request, admitted without the owner. Thus at
// most an eighth of the limit is reserved.
const reservedFactor = 8

// reserved returns the number of requests reserved for each node.
func reserved(limit, nodes int) int {
	if limit >= reservedFactor*max(nodes, 1) {
		return 1
	}
	return 0
}

// pool returns the part of a limit that its owner allocates by demand.
func pool(limit, nodes int) int {
	return max(limit, 0) - reserved(limit, nodes)*max(nodes, 1)
}

// equalShare returns a node's equal part of a limit, at least one, for use when it
// can't be allocated by demand.
func equalShare(limit, nodes int) int {
	nodes = max(nodes, 1)
	return (limit + nodes - 1) / nodes
}
