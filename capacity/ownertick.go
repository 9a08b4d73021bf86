package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// scanShare is the number of asks of a tier that each tick may look at.
const scanShare = 1000

// tick does what time demands: expires silent holders and marks of leaving
// endpoints, serves the queue, looks after asks that would be late, and repeats
// revocations. It must be called every Options.Tick.
func (o *owner) tick(now time.Time) {
	o.lastTick = now
	o.expireHolders(now)
	o.expireLeaving(now)
	o.place(now)
	o.considerAll(now)
	o.repeatRevocations(now)
}

// overslept reports whether ticks have been missed for so long that other nodes
// may have taken over.
func (o *owner) overslept(now time.Time) bool {
	return !o.lastTick.IsZero() && now.Sub(o.lastTick) > o.options.SettleTimeout
}

func (o *owner) expireHolders(now time.Time) {
	for _, p := range o.pools {
		for life, h := range p.holders {
			if now.Sub(h.heard) < o.options.GrantTTL {
				continue
			}
			o.forget(now, h)
			delete(p.holders, life)
		}
	}
}

// forget ends everything that a holder has.
func (o *owner) forget(now time.Time, h *holder) {
	o.forgetAsks(h)
	for _, g := range h.grants {
		o.counts.Expired++
		o.end(now, g, Result{})
	}
}

func (o *owner) forgetAsks(h *holder) {
	for _, e := range h.entries {
		o.counts.Expired++
		o.dropEntry(e)
	}
}

// ended drops the asks of a life that is over. Its grants stay until GrantTTL has
// passed: an engine may go on with a broken stream, so that it can be resumed.
func (o *owner) ended(over func(domain.Member) bool) {
	for _, p := range o.pools {
		for _, h := range p.holders {
			if len(h.entries) > 0 && over(h.member) {
				o.forgetAsks(h)
			}
		}
	}
}

// considerAll looks after the asks that would be late, in order; refusing one
// brings those behind it forward. A tier in which more wait than scanShare is
// looked at in proportionately fewer ticks.
func (o *owner) considerAll(now time.Time) {
	o.ticks++
	var late []*entry
	for tier, waiting := range o.queue.Tiers() {
		if o.ticks%uint64(1+waiting/scanShare) != 0 {
			continue
		}
		for item, ahead := range o.queue.TierPositions(tier) {
			if o.lateness(now, item.Value, ahead) != onTime {
				late = append(late, item.Value)
			}
		}
	}
	for _, e := range late {
		if e.item.Waiting() {
			o.consider(now, e, o.queue.Ahead(&e.item))
		}
	}
}

func (o *owner) repeatRevocations(now time.Time) {
	for g := range o.revoking {
		if now.Sub(g.notifiedAt) >= o.options.RevokeInterval {
			g.notifiedAt = now
			o.send(g.holder, g.pool, ruling{ID: g.id, Verdict: verdictRevoked})
		}
	}
}

// setLeaving notes a node's word about an endpoint. It counts until it is taken
// back or not repeated.
func (o *owner) setLeaving(now time.Time, from domain.NodeID, id domain.EndpointID, leaving bool) {
	p, ok := o.places[id]
	if !ok {
		return
	}
	if p.leavingBy == nil {
		p.leavingBy = make(map[domain.NodeID]time.Time)
	}
	if leaving {
		p.leavingBy[from] = now.Add(o.options.GrantTTL)
	} else {
		delete(p.leavingBy, from)
	}
	p.refresh()
	o.place(now)
}

func (o *owner) expireLeaving(now time.Time) {
	for _, p := range o.places {
		if len(p.leavingBy) == 0 {
			continue
		}
		for node, until := range p.leavingBy {
			if !until.After(now) {
				delete(p.leavingBy, node)
			}
		}
		p.refresh()
	}
}
