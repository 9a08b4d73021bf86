package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Dump is the state of a Service, for /debug/state.
type Dump struct {
	Owned []GroupDump `json:"owned"`
	Links []LinkDump  `json:"links"`
	// Leaving lists the endpoints that this node has marked as leaving.
	Leaving []domain.EndpointID `json:"leaving,omitempty"`
}

// GroupDump is the state of one pool group at its owner.
type GroupDump struct {
	Pools     []domain.PoolName   `json:"pools"`
	Settled   bool                `json:"settled"`
	Waiting   map[domain.Tier]int `json:"waiting,omitempty"`
	Revoking  int                 `json:"revoking"`
	Decisions ownerCounts         `json:"decisions"`
	Endpoints []EndpointDump      `json:"endpoints"`
	Holders   []HolderDump        `json:"holders,omitempty"`
}

// EndpointDump is the owner's state of one endpoint.
type EndpointDump struct {
	ID             domain.EndpointID   `json:"id"`
	Limit          int                 `json:"limit"`
	TokenLimit     int                 `json:"token_limit,omitempty"`
	Requests       int                 `json:"requests"`
	ReservedTokens int                 `json:"reserved_tokens"`
	Leaving        bool                `json:"leaving,omitempty"`
	Removed        bool                `json:"removed,omitempty"`
	Tiers          map[domain.Tier]int `json:"tiers,omitempty"`
}

// HolderDump is what the owner has recorded of one node for one pool.
type HolderDump struct {
	Pool         domain.PoolName `json:"pool"`
	Holder       string          `json:"holder"`
	Grants       int             `json:"grants"`
	Waiting      int             `json:"waiting"`
	SinceContact time.Duration   `json:"heard_ago_ns"`
}

// LinkDump is this node's client-side state towards one owner.
type LinkDump struct {
	DataCentre domain.DataCentre `json:"data_centre"`
	Pool       domain.PoolName   `json:"pool"`
	Owner      string            `json:"owner"`
	Grants     int               `json:"grants"`
	Waiting    int               `json:"waiting"`
}

func (s *Service) Dump() Dump {
	d := Dump{Leaving: s.leaving.all()}
	owners := *s.owners.Load()
	for _, name := range slices.Sorted(maps.Keys(owners)) {
		c := owners[name]
		c.mu.Lock()
		d.Owned = append(d.Owned, c.owner.dump(time.Now()))
		c.mu.Unlock()
	}
	for _, l := range s.links.all() {
		d.Links = append(d.Links, l.dump())
	}
	return d
}

func (l *link) dump() LinkDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := LinkDump{DataCentre: l.key.dc, Pool: l.key.pool, Grants: l.granted.Count, Waiting: l.waiting.Count}
	if l.known {
		d.Owner = l.owner.String()
	}
	return d
}

func (o *owner) dump(now time.Time) GroupDump {
	d := GroupDump{
		Pools:     slices.Sorted(maps.Keys(o.pools)),
		Settled:   o.settled,
		Waiting:   make(map[domain.Tier]int),
		Revoking:  len(o.revoking),
		Decisions: o.counts,
	}
	for item := range o.queue.Ordered() {
		d.Waiting[item.Tier]++
	}
	for _, id := range slices.Sorted(maps.Keys(o.endpoints)) {
		d.Endpoints = append(d.Endpoints, o.endpoints[id].dump())
	}
	for _, name := range d.Pools {
		d.Holders = append(d.Holders, o.pools[name].dump(now)...)
	}
	return d
}

func (p *ownedEndpoint) dump() EndpointDump {
	d := EndpointDump{
		ID:             p.state.ID,
		Limit:          p.state.Limit,
		TokenLimit:     p.state.TokenLimit,
		Requests:       p.state.Requests,
		ReservedTokens: p.state.ReservedTokens,
		Leaving:        p.state.Leaving,
		Removed:        p.removed,
		Tiers:          make(map[domain.Tier]int),
	}
	for _, t := range p.tiers {
		if len(t.grants) > 0 {
			d.Tiers[t.rank] = len(t.grants)
		}
	}
	return d
}

func (p *pool) dump(now time.Time) []HolderDump {
	var dumps []HolderDump
	for _, h := range p.holders {
		dumps = append(dumps, HolderDump{
			Pool:         p.name,
			Holder:       h.member.String(),
			Grants:       len(h.grants),
			Waiting:      len(h.entries),
			SinceContact: now.Sub(h.lastContact),
		})
	}
	slices.SortFunc(dumps, func(a, b HolderDump) int { return cmp.Compare(a.Holder, b.Holder) })
	return dumps
}
