package entrynode

import "hawthornrill.example/hawthornrill/domain"

const (
	// reservedFiles of the host's descriptors are not for sockets: so many the platform keeps for files.
	reservedFiles = 200
	// callersPart and endpointsPart are the parts of the rest for callers' connections and for those to endpoints; what
	// is left is for the store, the operators and the balancer. A request in progress needs one of each.
	callersPart   = 0.5
	endpointsPart = 0.4
	// maxIdlePerEndpoint bounds the idle connections to one endpoint where its own bound allows more.
	maxIdlePerEndpoint = 32
)

// callerConnections is the greatest number of callers' connections, 0 for no bound. Further ones wait to be accepted.
func (h Host) callerConnections() int { return h.sockets(callersPart) }

// endpointConnections is the greatest number of connections to endpoints, 0 for no bound.
func (h Host) endpointConnections() int { return h.sockets(endpointsPart) }

func (h Host) sockets(part float64) int {
	if h.MaxFiles <= 0 {
		return 0
	}
	return max(int(part*float64(h.MaxFiles-reservedFiles)), 1)
}

// idleAt is the number of idle connections that this node may keep to an endpoint: an equal part of what the endpoint
// accepts from all nodes.
func (n *Node) idleAt(id domain.EndpointID) int {
	e, table := n.directory.Current().Endpoint(id), n.follower.Table()
	if e == nil || table == nil {
		return 0
	}
	service := table.Services[e.Service]
	if service.MaxConnections <= 0 {
		return maxIdlePerEndpoint
	}
	return min(max(service.MaxConnections/max(n.nodes(), 1), 1), maxIdlePerEndpoint)
}
