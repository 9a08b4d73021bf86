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

// owner decides for one pool group. It does no I/O, has no clock and no lock: its
// methods take the present instant, and put what is to be sent into out.
type owner struct {
	options *Options
	chooser Chooser
	name    groupName
	dc      domain.DataCentre
	config  *config.Snapshot
	queue   *queue.Queue[*entry]
	pools   map[domain.PoolName]*pool
	// poolList holds the pools, sorted.
	poolList []*pool
	places   map[domain.EndpointID]*place
	// revoking holds the grants that are revoked and not released.
	revoking map[*grant]struct{}
	// settled is true once the holders have registered what they hold.
	settled bool
	// collectAgain asks for another collection.
	collectAgain bool
	lastTick     time.Time
	ticks        uint64
	out          []outgoing
	// answering is the ask whose ruling is returned and not put into out.
	answering *entry
	// round numbers the searches for asks to place.
	round      uint64
	candidates []*EndpointState
	choices    []*place
	prospects  []prospect
	counts     ownerCounts
}

// outgoing is a ruling to be sent.
type outgoing struct {
	to     domain.Member
	pool   domain.PoolName
	ruling ruling
}

// ownerCounts counts decisions since the owner began.
type ownerCounts struct {
	Granted  uint64 `json:"granted"`
	Queued   uint64 `json:"queued"`
	Sought   uint64 `json:"sought"`
	Shed     uint64 `json:"shed"`
	Deadline uint64 `json:"deadline"`
	Refused  uint64 `json:"refused"`
	Revoked  uint64 `json:"revoked"`
	Expired  uint64 `json:"expired"`
	Adopted  uint64 `json:"adopted"`
}

func newOwner(options *Options, name groupName, dc domain.DataCentre) *owner {
	return &owner{
		options:  options,
		chooser:  options.NewChooser(),
		name:     name,
		dc:       dc,
		queue:    queue.New[*entry](options.QueueLimit),
		pools:    make(map[domain.PoolName]*pool),
		places:   make(map[domain.EndpointID]*place),
		revoking: make(map[*grant]struct{}),
	}
}

// configure takes the group's endpoints and pools from a layout. Grants at an
// endpoint that is gone from the configuration are kept until they end.
func (o *owner) configure(now time.Time, l *layout) {
	group := l.centres[o.dc].groups[o.name]
	o.config = l.config
	o.configurePools(group, l)
	o.configurePlaces(group)
	o.link()
	o.listPools()
	o.place(now)
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
		p.remote = len(l.elsewhere[name]) > 1
	}
	for name, p := range o.pools {
		if !kept[name] {
			o.dropPool(p)
		}
	}
}

// dropPool forgets a pool that another group has now; its holders register with
// the new owner.
func (o *owner) dropPool(p *pool) {
	for _, h := range p.holders {
		for _, e := range h.entries {
			o.queue.Remove(&e.item)
		}
		for _, g := range h.grants {
			o.unplace(g)
		}
	}
	delete(o.pools, p.name)
}

func (o *owner) configurePlaces(group *groupLayout) {
	for _, p := range o.places {
		p.removed = true
	}
	for _, row := range group.endpoints {
		p, ok := o.places[row.ID]
		if !ok {
			p = newPlace(row)
			o.places[row.ID] = p
		}
		p.configure(row)
	}
}

// link joins places and pools anew and recounts.
func (o *owner) link() {
	for _, p := range o.pools {
		p.places, p.granted, p.inService, p.open = nil, 0, 0, 0
	}
	for id, p := range o.places {
		p.pools = nil
		p.serving, p.open = false, false
		if p.removed && p.state.Requests == 0 {
			delete(o.places, id)
			continue
		}
		if !p.removed {
			o.linkPlace(p)
		}
		p.refresh()
	}
	for _, p := range o.pools {
		sortPlaces(p.places)
	}
}

func (o *owner) linkPlace(p *place) {
	for _, name := range p.state.Row.PoolNames() {
		pool, ok := o.pools[name]
		if !ok {
			continue
		}
		pool.places = append(pool.places, p)
		pool.granted += p.state.Requests
		p.pools = append(p.pools, pool)
	}
}

// settle ends the wait for registrations.
func (o *owner) settle(now time.Time) {
	o.settled = true
	o.place(now)
}

// unsettle begins it anew, after a pause in which others may have taken over.
func (o *owner) unsettle() { o.settled = false }

// send puts a ruling into out.
func (o *owner) send(h *holder, p *pool, r ruling) {
	o.out = append(o.out, outgoing{to: h.member, pool: p.name, ruling: r})
}

// takeOut returns what is to be sent and empties out.
func (o *owner) takeOut() []outgoing {
	out := o.out
	o.out = nil
	return out
}

// weight returns an organisation's weight in force.
func (o *owner) weight(id domain.OrganisationID) int {
	if o.config == nil {
		return 1
	}
	if organisation, ok := o.config.Organisations[id]; ok {
		return organisation.Weight
	}
	return 1
}

// bound lets the queue grow by the places that revocations are about to free.
func (o *owner) bound() { o.queue.SetBound(o.options.QueueLimit + len(o.revoking)) }
