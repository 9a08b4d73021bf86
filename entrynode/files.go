package entrynode

import "hawthornrill.example/hawthornrill/domain"

const (
	// reservedDescriptors is the number of file descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// callerFraction and endpointFraction are the fractions of the other descriptors for connections of callers and to
	// endpoints. A request in progress needs one of each. The rest is for the store, the operators and the balancer.
	callerFraction   = 0.5
	endpointFraction = 0.4
	// peerFraction is that for connections over which requests are forwarded to other nodes, forwarderFraction that for those over
	// which other nodes forward requests.
	peerFraction      = 0.05
	forwarderFraction = 0.04
	// maxPortConnections limits the connections of the balancer, and again those of the operators.
	maxPortConnections = 16
	// maxIdlePerPeer limits the idle connections to one of these nodes.
	maxIdlePerPeer = 16
	// maxIdlePerEndpoint limits the idle connections to one endpoint if its own limit is higher or absent.
	maxIdlePerEndpoint = 32
)

// callerConnections returns the maximum number of callers' connections, 0 for no limit. Further ones wait to be accepted.
func (h Host) callerConnections() int { return h.connectionShare(callerFraction) }

// endpointConnections returns the maximum number of connections to endpoints, 0 for no limit.
func (h Host) endpointConnections() int { return h.connectionShare(endpointFraction) }

// forwarderConnections returns the maximum number of connections from other nodes, 0 for no limit. Further ones wait to be accepted.
func (h Host) forwarderConnections() int { return h.connectionShare(forwarderFraction) }

// peerConnections returns the maximum number of connections to other nodes, 0 for no limit.
func (h Host) peerConnections() int { return h.connectionShare(peerFraction) }

func (h Host) connectionShare(fraction float64) int {
	if h.MaxFiles <= 0 {
		return 0
	}
	return max(int(fraction*float64(h.MaxFiles-reservedDescriptors)), 1)
}

// maxIdleConnections returns the number of idle connections that this node may keep to an endpoint: an equal share of the
// connections that the endpoint accepts from all nodes.
func (n *Node) maxIdleConnections(id domain.EndpointID) int {
	e, table := n.directory.Current().Endpoint(id), n.follower.Table()
	if e == nil || table == nil {
		return 0
	}
	service := table.Services[e.Service]
	if service.MaxConnections <= 0 {
		return maxIdlePerEndpoint
	}
	return min(max(service.MaxConnections/max(n.nodeCount(), 1), 1), maxIdlePerEndpoint)
}
