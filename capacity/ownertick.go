package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// maxScannedPerTick is about the most requests of a tier that are examined per tick on
// average.
const maxScannedPerTick = 1000

// tick does the periodic work: it expires holders that have sent nothing and marks of
// leaving endpoints, runs the scheduler, reviews requests that would be late, and
// repeats revocations. It must be called every Options.Tick.
func (o *owner) tick(now time.Time) {
	o.lastTick = now
	o.expireHolders(now)
	o.expireLeaving(now)
	o.schedule(now)
	o.reviewAll(now)
	o.repeatRevocations(now)
}

// missedTicks reports whether there was no tick for so long that other nodes may have
// taken over.
func (o *owner) missedTicks(now time.Time) bool {
	return !o.lastTick.IsZero() && now.Sub(o.lastTick) > o.options.SettleTimeout
}

func (o *owner) expireHolders(now time.Time) {
	for _, p := range o.pools {
		for key, h := range p.holders {
			if now.Sub(h.lastContact) < o.options.GrantTTL {
				continue
			}
			o.dropHolder(now, h)
			delete(p.holders, key)
		}
	}
}

// dropHolder ends all requests and grants of a holder.
func (o *owner) dropHolder(now time.Time, h *holder) {
	o.dropRequests(h)
	for _, g := range h.grants {
		o.counts.Expired++
		o.endGrant(now, g, Result{})
	}
}

func (o *owner) dropRequests(h *holder) {
	for _, e := range h.entries {
		o.counts.Expired++
		o.removeEntry(e)
	}
}

// dropEndedRequests drops the requests of incarnations that have ended. Their grants
// stay until GrantTTL has passed: an engine may still be working on a broken stream, so
// that it can be resumed.
func (o *owner) dropEndedRequests(over func(domain.Member) bool) {
	for _, p := range o.pools {
		for _, h := range p.holders {
			if len(h.entries) > 0 && over(h.member) {
				o.dropRequests(h)
			}
		}
	}
}

// reviewAll reviews the requests that would be late, in queue order; refusing one moves
// up those behind it. A tier with more requests than maxScannedPerTick is examined in
// proportionately fewer ticks.
func (o *owner) reviewAll(now time.Time) {
	o.ticks++
	var late []*entry
	for tier, waiting := range o.queue.Tiers() {
		if o.ticks%uint64(1+waiting/maxScannedPerTick) != 0 {
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
			o.review(now, e, o.queue.Ahead(&e.item))
		}
	}
}

func (o *owner) repeatRevocations(now time.Time) {
	for g := range o.revoking {
		if now.Sub(g.notifiedAt) >= o.options.RevokeInterval {
			g.notifiedAt = now
			o.send(g.holder, g.pool, decision{ID: g.id, Kind: decisionRevoked})
		}
	}
}

// setLeaving sets or removes a node's mark on a leaving endpoint. A mark that is not
// repeated expires after GrantTTL.
func (o *owner) setLeaving(now time.Time, from domain.NodeID, id domain.EndpointID, leaving bool) {
	p, ok := o.endpoints[id]
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
	o.schedule(now)
}

func (o *owner) expireLeaving(now time.Time) {
	for _, p := range o.endpoints {
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
