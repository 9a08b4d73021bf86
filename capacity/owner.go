package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
)

// owner makes the decisions for one pool group. It does no I/O and has no clock and no
// lock: its methods take the current time, and append what is to be sent to out.
type owner struct {
	options *Options
	chooser Chooser
	name    poolGroup
	dc      domain.DataCentre
	config  *config.Snapshot
	queue   *queue.Queue[*entry]
	pools   map[domain.PoolName]*pool
	// poolList holds the pools, sorted.
	poolList  []*pool
	endpoints map[domain.EndpointID]*ownedEndpoint
	// revoking holds the grants that are revoked and not released.
	revoking map[*grant]struct{}
	// settled is true once the holders have registered what they hold.
	settled bool
	// collectAgain requests another collection from the holders.
	collectAgain bool
	lastTick     time.Time
	ticks        uint64
	out          []outgoing
	// deciding is the request whose decision is returned as a reply and not appended to
	// out.
	deciding *entry
	// round numbers the scheduling rounds.
	round              uint64
	candidates         []*EndpointState
	candidateEndpoints []*ownedEndpoint
	prospects          []revocationProspect
	counts             ownerCounts
}

// outgoing is a decision to be sent.
type outgoing struct {
	to       domain.Member
	pool     domain.PoolName
	decision decision
}

// ownerCounts counts decisions since the owner was created.
type ownerCounts struct {
	Granted  uint64 `json:"granted"`
	Queued   uint64 `json:"queued"`
	Searched uint64 `json:"sought"`
	Shed     uint64 `json:"shed"`
	Deadline uint64 `json:"deadline"`
	Refused  uint64 `json:"refused"`
	Revoked  uint64 `json:"revoked"`
	Expired  uint64 `json:"expired"`
	Adopted  uint64 `json:"adopted"`
}

func newOwner(options *Options, name poolGroup, dc domain.DataCentre) *owner {
	return &owner{
		options:   options,
		chooser:   options.NewChooser(),
		name:      name,
		dc:        dc,
		queue:     queue.New[*entry](options.QueueLimit),
		pools:     make(map[domain.PoolName]*pool),
		endpoints: make(map[domain.EndpointID]*ownedEndpoint),
		revoking:  make(map[*grant]struct{}),
	}
}

// configure takes the group's endpoints and pools from a layout. Grants at an endpoint
// that was removed from the configuration are kept until they end.
func (o *owner) configure(now time.Time, l *layout) {
	group := l.dataCentres[o.dc].groups[o.name]
	o.config = l.config
	o.configurePools(group, l)
	o.configureEndpoints(group)
	o.linkPools()
	o.listPools()
	o.schedule(now)
}

func (o *owner) listPools() {
	o.poolList = slices.SortedFunc(maps.Values(o.pools), func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
}

func (o *owner) configurePools(group *groupLayout, l *layout) {
	kept := make(map[domain.PoolName]bool, len(group.pools))
	for _, name := range group.pools {
		kept[name] = true
		p, ok := o.pools[name]
		if !ok {
			p = newPool(name)
			o.pools[name] = p
		}
		p.servedElsewhere = len(l.dataCentresOf[name]) > 1
	}
	for name, p := range o.pools {
		if !kept[name] {
			o.dropPool(p)
		}
	}
}

// dropPool removes a pool that now belongs to another group; its holders register with
// the new owner.
func (o *owner) dropPool(p *pool) {
	for _, h := range p.holders {
		for _, e := range h.entries {
			o.queue.Remove(&e.item)
		}
		for _, g := range h.grants {
			o.removeGrant(g)
		}
	}
	delete(o.pools, p.name)
}

func (o *owner) configureEndpoints(group *groupLayout) {
	for _, p := range o.endpoints {
		p.removed = true
	}
	for _, row := range group.endpoints {
		p, ok := o.endpoints[row.ID]
		if !ok {
			p = newOwnedEndpoint(row)
			o.endpoints[row.ID] = p
		}
		p.configure(row)
	}
}

// linkPools rebuilds the references between endpoints and pools, and recounts.
func (o *owner) linkPools() {
	for _, p := range o.pools {
		p.endpoints, p.granted, p.inService, p.available = nil, 0, 0, 0
	}
	for id, p := range o.endpoints {
		p.pools = nil
		p.inService, p.available = false, false
		if p.removed && p.state.Requests == 0 {
			delete(o.endpoints, id)
			continue
		}
		if !p.removed {
			o.linkEndpoint(p)
		}
		p.refresh()
	}
	for _, p := range o.pools {
		sortEndpoints(p.endpoints)
	}
}

func (o *owner) linkEndpoint(p *ownedEndpoint) {
	for _, name := range p.state.Row.PoolNames() {
		pool, ok := o.pools[name]
		if !ok {
			continue
		}
		pool.endpoints = append(pool.endpoints, p)
		pool.granted += p.state.Requests
		p.pools = append(p.pools, pool)
	}
}

// settle ends the wait for registrations.
func (o *owner) settle(now time.Time) {
	o.settled = true
	o.schedule(now)
}

// resetSettled stops granting until registrations have been collected again, after a
// pause in which other nodes may have taken over.
func (o *owner) resetSettled() { o.settled = false }

// send appends a decision to out.
func (o *owner) send(h *holder, p *pool, r decision) {
	o.out = append(o.out, outgoing{to: h.member, pool: p.name, decision: r})
}

// takeOut returns what is to be sent and empties out.
func (o *owner) takeOut() []outgoing {
	out := o.out
	o.out = nil
	return out
}

// weight returns an organisation's configured weight.
func (o *owner) weight(id domain.OrganisationID) int {
	if o.config == nil {
		return 1
	}
	if organisation, ok := o.config.Organisations[id]; ok {
		return organisation.Weight
	}
	return 1
}

// updateQueueLimit extends the queue by the slots that pending revocations will free.
func (o *owner) updateQueueLimit() { o.queue.SetBound(o.options.QueueLimit + len(o.revoking)) }
