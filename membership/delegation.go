package membership

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// listKey is the rendezvous key of the nodes that read the host list.
const listKey = "host list"

// delegation says which nodes of the own data centre do which work for the rest,
// and what follows from their word. It is derived from a table.
type delegation struct {
	// contacts are the delegates for each other data centre.
	contacts map[domain.DataCentre][]domain.NodeID
	// list are the nodes that read the host list.
	list []domain.NodeID
	// nodes counts the nodes of the own data centre that answer.
	nodes int
	// up are the other data centres that can be reached.
	up map[domain.DataCentre]bool
}

// delegate derives the delegation. Where no delegate has said anything yet, the
// previous answer stands.
func (t *table) delegate(delegates int, previous map[domain.DataCentre]bool) delegation {
	nodes := t.answering()
	d := delegation{
		contacts: make(map[domain.DataCentre][]domain.NodeID),
		list:     first(listKey, nodes, delegates),
		nodes:    len(nodes),
		up:       make(map[domain.DataCentre]bool),
	}
	for _, dc := range t.dataCentres() {
		if dc == t.home {
			continue
		}
		chosen := first(string(dc), nodes, delegates)
		d.contacts[dc] = chosen
		d.up[dc] = t.isUp(dc, chosen, previous[dc])
	}
	return d
}

// first returns the first count nodes in rendezvous order for the key.
func first(key string, nodes []domain.NodeID, count int) []domain.NodeID {
	ranked := rendezvous.Order(key, nodes, func(node domain.NodeID) string { return string(node) })
	return ranked[:min(count, len(ranked))]
}

// answering returns the nodes of the own data centre that are alive or leaving.
func (t *table) answering() []domain.NodeID {
	var nodes []domain.NodeID
	for _, node := range t.order {
		e := t.entries[node]
		if e.DataCentre == t.home && e.status() <= StatusLeaving {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// isUp reports whether a data centre can be reached: one delegate's success
// outweighs the others' failures.
func (t *table) isUp(dc domain.DataCentre, delegates []domain.NodeID, previous bool) bool {
	stated := false
	for _, node := range delegates {
		c, ok := t.contacts[contactKey{node, dc}]
		if ok && c.Up {
			return true
		}
		stated = stated || ok
	}
	return previous && !stated
}

// contacted returns the data centres that the node is to contact, sorted.
func (d delegation) contacted(node domain.NodeID) []domain.DataCentre {
	var list []domain.DataCentre
	for dc, delegates := range d.contacts {
		if slices.Contains(delegates, node) {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}

// readsList reports whether the node is to read the host list.
func (d delegation) readsList(node domain.NodeID) bool { return slices.Contains(d.list, node) }

// status returns what a record means, seen from the table's data centre.
func (t *table) statusOf(r record, up map[domain.DataCentre]bool) Status {
	status := r.status()
	if r.DataCentre != t.home && status < StatusUnreachable && !up[r.DataCentre] {
		return StatusUnreachable
	}
	return status
}

// peers returns what a snapshot shows.
func (t *table) peers(up map[domain.DataCentre]bool) []Peer {
	peers := make([]Peer, 0, len(t.order))
	for _, node := range t.order {
		r := t.entries[node].record
		peers = append(peers, Peer{Member: r.member(), Status: t.statusOf(r, up)})
	}
	return peers
}
