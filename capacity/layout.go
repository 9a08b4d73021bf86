package capacity

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// poolGroup identifies a pool group by its first pool in alphabetical order.
type poolGroup = domain.PoolName

// layout holds, for one configuration and one membership view, the pools of each data
// centre and the nodes that own them. It is immutable.
type layout struct {
	config  *config.Snapshot
	members *membership.Snapshot
	// dataCentres holds the pools of each data centre.
	dataCentres map[domain.DataCentre]*dataCentreLayout
	// dataCentresOf lists, for each pool, the data centres that serve it, sorted.
	dataCentresOf map[domain.PoolName][]domain.DataCentre
	lowestTier    domain.Tier
}

// dataCentreLayout is the part of a layout for one data centre. Pools that share an
// endpoint form a group, so that a single owner accounts for the endpoint.
type dataCentreLayout struct {
	groupOf map[domain.PoolName]poolGroup
	groups  map[poolGroup]*groupLayout
	// alive are the members that may own pools, sorted by node.
	alive []domain.Member
}

// groupLayout lists the pools and endpoints of a group.
type groupLayout struct {
	name      poolGroup
	pools     []domain.PoolName
	endpoints []*config.EndpointRow
}

func newLayout(c *config.Snapshot, m *membership.Snapshot) *layout {
	l := &layout{
		config:        c,
		members:       m,
		dataCentres:   make(map[domain.DataCentre]*dataCentreLayout),
		dataCentresOf: make(map[domain.PoolName][]domain.DataCentre),
	}
	if c != nil {
		l.addPools(c)
	}
	l.addMembers(m)
	return l
}

// withMembers returns a layout of the same configuration with other members.
func (l *layout) withMembers(m *membership.Snapshot) *layout {
	next := *l
	next.members = m
	next.dataCentres = make(map[domain.DataCentre]*dataCentreLayout, len(l.dataCentres))
	for dc, c := range l.dataCentres {
		next.dataCentres[dc] = &dataCentreLayout{groupOf: c.groupOf, groups: c.groups}
	}
	next.addMembers(m)
	return &next
}

func (l *layout) addPools(c *config.Snapshot) {
	for _, t := range c.Table.Tiers {
		l.lowestTier = max(l.lowestTier, t.Rank)
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
		l.dataCentres[dc] = union.layout()
		for pool := range union.parent {
			l.dataCentresOf[pool] = append(l.dataCentresOf[pool], dc)
		}
	}
	for _, dcs := range l.dataCentresOf {
		slices.Sort(dcs)
	}
}

func (l *layout) addMembers(m *membership.Snapshot) {
	for i := range m.Peers {
		p := &m.Peers[i]
		if p.Status != membership.StatusAlive {
			continue
		}
		if c, ok := l.dataCentres[p.DataCentre]; ok {
			c.alive = append(c.alive, p.Member)
		}
	}
}

// owner returns the member that owns the pool in the data centre: the first of the
// alive members in rendezvous order. ok is false if the pool does not exist there or no
// member is alive.
func (l *layout) owner(dc domain.DataCentre, pool domain.PoolName) (domain.Member, bool) {
	c, ok := l.dataCentres[dc]
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
	c, ok := l.dataCentres[dc]
	if !ok {
		return false
	}
	_, ok = c.groupOf[pool]
	return ok
}

// rendezvous returns the member with the greatest hash. The hash covers the node and
// not its incarnation, so that a restarted node owns the same groups as before.
func rendezvous(group poolGroup, members []domain.Member) domain.Member {
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

// nextLayout computes a layout, and reuses the last one's pools if the configuration is
// the same.
func nextLayout(old *layout, c *config.Snapshot, m *membership.Snapshot) *layout {
	if old != nil && old.config == c {
		return old.withMembers(m)
	}
	return newLayout(c, m)
}

// hasEnded reports whether an incarnation has ended according to the membership view.
func (l *layout) hasEnded(member domain.Member) bool {
	for i := range l.members.Peers {
		p := &l.members.Peers[i]
		if p.Node == member.Node {
			return p.Status == membership.StatusGone || p.Incarnation > member.Incarnation
		}
	}
	return true
}
