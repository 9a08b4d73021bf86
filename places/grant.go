package places

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
)

// release returns a place and grants the freed capacity to waiters.
func (a *Allocator) release(place *Place, result capacity.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	ep, p := place.tracked, place.pool
	ep.ownLoad.subtract(place.load)
	ep.refreshState()
	ep.recordResult(now, result)
	p.router.Observe(now, &ep.state, place.capacityRequest, result)
	if result.Dispatched {
		p.recordHold(place.capacityRequest, place.tier, now.Sub(place.granted).Seconds())
		if result.FirstToken > 0 {
			p.firstByteTimes.add(place.capacityRequest.PromptTokens, result.FirstToken)
		}
	}
	// The slot goes to this node's own waiters first: the peers count it as used until the next report.
	ep.slotReleased = true
	a.grantWaiting(p, now)
	ep.slotReleased = false
}

// grantWaiting grants places to waiters in queue order while there is capacity.
func (a *Allocator) grantWaiting(p *pool, now time.Time) {
	for {
		w, ep := a.nextGrant(p, now)
		if w == nil {
			p.refuseDuringRest(now)
			return
		}
		p.waiting.Take(&w.item)
		p.queuedGrants++
		a.granted.Inc()
		w.granted <- p.grant(a, now, w.request, ep)
	}
}

// nextGrant returns the first waiter for which there is an endpoint, usually the head of the queue. If the head can't
// use every endpoint that has capacity, it may be a waiter behind it.
func (a *Allocator) nextGrant(p *pool, now time.Time) (*waiter, *trackedEndpoint) {
	first := p.next(now)
	if first == nil {
		return nil, nil
	}
	if ep := p.choose(now, first.request, a); ep != nil {
		return first, ep
	}
	if !first.request.selective(now, p.firstByteTime(first.request), p.demand.reserve(now, demandTierOf(first.request)) > 0) {
		return nil, nil
	}
	looked := 0
	for item := range p.waiting.Ordered() {
		if looked++; looked > maxLookahead {
			break
		}
		if item.Value == first {
			continue
		}
		if ep := p.choose(now, item.Value.request, a); ep != nil {
			return item.Value, ep
		}
	}
	return nil, nil
}

// grantAllWaiting serves all queues.
func (a *Allocator) grantAllWaiting(now time.Time) {
	for _, p := range a.pools {
		a.grantWaiting(p, now)
	}
}
