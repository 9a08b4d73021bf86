package capacity

import (
	"maps"
	"slices"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// poolUnion groups the pools of a data centre that share endpoints, using disjoint sets
// with path halving.
type poolUnion struct {
	parent map[domain.PoolName]domain.PoolName
	// first is the first pool added for an endpoint.
	first map[domain.EndpointID]domain.PoolName
	rows  map[domain.EndpointID]*config.EndpointRow
}

func newPoolUnion() *poolUnion {
	return &poolUnion{
		parent: make(map[domain.PoolName]domain.PoolName),
		first:  make(map[domain.EndpointID]domain.PoolName),
		rows:   make(map[domain.EndpointID]*config.EndpointRow),
	}
}

func (u *poolUnion) add(pool domain.PoolName, row *config.EndpointRow) {
	if _, ok := u.parent[pool]; !ok {
		u.parent[pool] = pool
	}
	other, seen := u.first[row.ID]
	if !seen {
		u.first[row.ID] = pool
		u.rows[row.ID] = row
		return
	}
	u.join(pool, other)
}

// join merges two groups. The alphabetically first root becomes the common one, so that
// the group's name does not depend on the order of calls.
func (u *poolUnion) join(a, b domain.PoolName) {
	a, b = u.find(a), u.find(b)
	if a == b {
		return
	}
	if b < a {
		a, b = b, a
	}
	u.parent[b] = a
}

func (u *poolUnion) find(pool domain.PoolName) domain.PoolName {
	for u.parent[pool] != pool {
		u.parent[pool] = u.parent[u.parent[pool]]
		pool = u.parent[pool]
	}
	return pool
}

func (u *poolUnion) layout() *dataCentreLayout {
	c := &dataCentreLayout{
		groupOf: make(map[domain.PoolName]poolGroup, len(u.parent)),
		groups:  make(map[poolGroup]*groupLayout),
	}
	for _, pool := range slices.Sorted(maps.Keys(u.parent)) {
		name := u.find(pool)
		c.groupOf[pool] = name
		group, ok := c.groups[name]
		if !ok {
			group = &groupLayout{name: name}
			c.groups[name] = group
		}
		group.pools = append(group.pools, pool)
	}
	for _, id := range slices.Sorted(maps.Keys(u.first)) {
		group := c.groups[u.find(u.first[id])]
		group.endpoints = append(group.endpoints, u.rows[id])
	}
	return c
}
