package follow

import (
	"slices"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/domain"
)

// roster is the list of nodes; one goroutine writes it.
type roster struct{ current atomic.Pointer[[]Peer] }

func (r *roster) load() []Peer { return *r.current.Load() }

func (r *roster) store(peers []Peer) { r.current.Store(&peers) }

func (r *roster) apply(listed []Peer, removed []domain.NodeID) {
	if len(listed)+len(removed) == 0 {
		return
	}
	next := slices.Clone(r.load())
	for _, p := range listed {
		next = slices.DeleteFunc(next, func(o Peer) bool { return o.Node == p.Node })
		next = append(next, p)
	}
	for _, id := range removed {
		next = slices.DeleteFunc(next, func(o Peer) bool { return o.Node == id })
	}
	r.store(next)
}
