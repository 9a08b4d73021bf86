package membership

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// hostListKey is the rendezvous key for the nodes that read the host list.
const hostListKey = "host list"

// delegation assigns work of the local data centre to its nodes and holds the
// result of their reachability reports. It is derived from a table.
type delegation struct {
	// delegates are the nodes that exchange state with each remote data centre.
	delegates       map[domain.DataCentre][]domain.NodeID
	hostListReaders []domain.NodeID
	ring            ring
	// nodeCount is the number of responsive nodes of the local data centre.
	nodeCount int
	// reachable says for each remote data centre whether it can be reached.
	reachable map[domain.DataCentre]bool
}

// deriveDelegation computes the delegation. For a data centre about which no
// delegate has reported yet, the previous result is kept.
func (t *table) deriveDelegation(perDataCentre int, previous map[domain.DataCentre]bool) delegation {
	nodes := t.responsiveNodes()
	d := delegation{
		delegates:       make(map[domain.DataCentre][]domain.NodeID),
		hostListReaders: topRanked(hostListKey, nodes, perDataCentre),
		ring:            newRing(nodes),
		nodeCount:       len(nodes),
		reachable:       make(map[domain.DataCentre]bool),
	}
	for _, dc := range t.dataCentres() {
		if dc == t.localDC {
			continue
		}
		delegates := topRanked(string(dc), nodes, perDataCentre)
		d.delegates[dc] = delegates
		d.reachable[dc] = t.isReachable(dc, delegates, previous[dc])
	}
	return d
}

// topRanked returns the first count nodes in rendezvous order for the key.
func topRanked(key string, nodes []domain.NodeID, count int) []domain.NodeID {
	ranked := rendezvous.Order(key, nodes, func(node domain.NodeID) string { return string(node) })
	return ranked[:min(count, len(ranked))]
}

// responsiveNodes returns the nodes of the local data centre that are alive or
// leaving.
func (t *table) responsiveNodes() []domain.NodeID {
	var nodes []domain.NodeID
	for _, node := range t.order {
		e := t.entries[node]
		if e.DataCentre == t.localDC && e.status() <= StatusLeaving {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// isReachable reports whether a data centre can be reached: one delegate's
// success outweighs the others' failures.
func (t *table) isReachable(dc domain.DataCentre, delegates []domain.NodeID, previous bool) bool {
	reported := false
	for _, node := range delegates {
		c, ok := t.reachability[reachabilityKey{node, dc}]
		if ok && c.Reachable {
			return true
		}
		reported = reported || ok
	}
	return previous && !reported
}

// assignedDataCentres returns the data centres for which the node is a delegate,
// sorted.
func (d delegation) assignedDataCentres(node domain.NodeID) []domain.DataCentre {
	var list []domain.DataCentre
	for dc, delegates := range d.delegates {
		if slices.Contains(delegates, node) {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}

// readsHostList reports whether the node is assigned to read the host list.
func (d delegation) readsHostList(node domain.NodeID) bool {
	return slices.Contains(d.hostListReaders, node)
}

// statusOf returns the status of a record as seen from the table's data centre.
// The nodes of an unreachable data centre are unreachable.
func (t *table) statusOf(r record, reachable map[domain.DataCentre]bool) Status {
	status := r.status()
	if r.DataCentre != t.localDC && status < StatusUnreachable && !reachable[r.DataCentre] {
		return StatusUnreachable
	}
	return status
}

// peers returns the peers of a snapshot.
func (t *table) peers(reachable map[domain.DataCentre]bool) []Peer {
	peers := make([]Peer, 0, len(t.order))
	for _, node := range t.order {
		r := t.entries[node].record
		peers = append(peers, Peer{Member: r.member(), Status: t.statusOf(r, reachable)})
	}
	return peers
}
