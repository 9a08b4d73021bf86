package capacity

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// groupName names a pool group: its first pool in alphabetical order.
type groupName = domain.PoolName

// layout tells, for one configuration and one view of the members, which pools
// exist in which data centre and which node owns them. It is immutable.
type layout struct {
	config  *config.Snapshot
	members *membership.Snapshot
	// centres holds the pools of each data centre.
	centres map[domain.DataCentre]*centre
	// elsewhere lists, for each pool, the data centres that serve it, sorted.
	elsewhere map[domain.PoolName][]domain.DataCentre
	lowest    domain.Tier
}

// centre is the part of a layout that describes one data centre. Pools that
// share an endpoint form a group, so that one owner accounts for it.
type centre struct {
	groupOf map[domain.PoolName]groupName
	groups  map[groupName]*groupLayout
	// alive are the members that may own pools, sorted by node.
	alive []domain.Member
}

// groupLayout lists what a group consists of.
type groupLayout struct {
	name      groupName
	pools     []domain.PoolName
	endpoints []*config.EndpointRow
}

// newLayout computes the layout.
func newLayout(c *config.Snapshot, m *membership.Snapshot) *layout {
	l := &layout{
		config:    c,
		members:   m,
		centres:   make(map[domain.DataCentre]*centre),
		elsewhere: make(map[domain.PoolName][]domain.DataCentre),
	}
	if c != nil {
		l.addPools(c)
	}
	l.addMembers(m)
	return l
}

// withMembers returns a layout of the same configuration for other members.
func (l *layout) withMembers(m *membership.Snapshot) *layout {
	next := *l
	next.members = m
	next.centres = make(map[domain.DataCentre]*centre, len(l.centres))
	for dc, c := range l.centres {
		next.centres[dc] = &centre{groupOf: c.groupOf, groups: c.groups}
	}
	next.addMembers(m)
	return &next
}

func (l *layout) addPools(c *config.Snapshot) {
	for _, t := range c.Table.Tiers {
		l.lowest = max(l.lowest, t.Rank)
	}
	rows := make(map[domain.DataCentre]*poolUnion)
	for pool, endpoints := range c.Pools {
		for _, row := range endpoints {
			union, ok := rows[row.DataCentre]
			if !ok {
				union = newPoolUnion()
				rows[row.DataCentre] = union
			}
			union.add(pool, row)
		}
	}
	for dc, union := range rows {
		l.centres[dc] = union.centre()
		for pool := range union.parent {
			l.elsewhere[pool] = append(l.elsewhere[pool], dc)
		}
	}
	for _, dcs := range l.elsewhere {
		slices.Sort(dcs)
	}
}

func (l *layout) addMembers(m *membership.Snapshot) {
	for i := range m.Peers {
		p := &m.Peers[i]
		if p.Status != membership.StatusAlive {
			continue
		}
		if c, ok := l.centres[p.DataCentre]; ok {
			c.alive = append(c.alive, p.Member)
		}
	}
}

// owner returns the member that owns the pool in the data centre: the first in
// rendezvous order among the alive ones. ok is false if the pool does not exist
// there or nobody is alive.
func (l *layout) owner(dc domain.DataCentre, pool domain.PoolName) (domain.Member, bool) {
	c, ok := l.centres[dc]
	if !ok {
		return domain.Member{}, false
	}
	group, ok := c.groupOf[pool]
	if !ok || len(c.alive) == 0 {
		return domain.Member{}, false
	}
	return rendezvous(group, c.alive), true
}

// serves reports whether the pool has endpoints in the data centre.
func (l *layout) serves(dc domain.DataCentre, pool domain.PoolName) bool {
	c, ok := l.centres[dc]
	if !ok {
		return false
	}
	_, ok = c.groupOf[pool]
	return ok
}

// rendezvous returns the member with the greatest hash. It depends on the node
// and not on its incarnation, so that a restarted node owns what it owned.
func rendezvous(group groupName, members []domain.Member) domain.Member {
	seed := xxhash.Sum64String(string(group))
	best, bestScore := 0, uint64(0)
	for i := range members {
		score := mix(seed ^ xxhash.Sum64String(string(members[i].Node)))
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return members[best]
}

// mix spreads the bits of an integer (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// nextLayout computes a layout, from the last one where that has the same
// configuration.
func nextLayout(old *layout, c *config.Snapshot, m *membership.Snapshot) *layout {
	if old != nil && old.config == c {
		return old.withMembers(m)
	}
	return newLayout(c, m)
}

// over reports whether a life has ended, as far as the members' view tells.
func (l *layout) over(member domain.Member) bool {
	for i := range l.members.Peers {
		p := &l.members.Peers[i]
		if p.Node == member.Node {
			return p.Status == membership.StatusGone || p.Incarnation > member.Incarnation
		}
	}
	return true
}
