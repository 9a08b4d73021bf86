package places

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
)

// release gives a place back and hands out what has become free.
func (d *Allocator) release(place *Place, result capacity.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a, p := place.account, place.pool
	a.own.subtract(place.load)
	a.refresh()
	a.learn(now, result)
	p.router.Observe(now, &a.state, place.ask, result)
	if result.Dispatched {
		p.keep(place.ask, place.tier, now.Sub(place.granted).Seconds())
		if result.FirstToken > 0 {
			p.firsts.add(place.ask.PromptTokens, result.FirstToken)
		}
	}
	// The place goes to this node's own waiters first: the others count it as taken until they hear of it.
	a.givenBack = true
	d.hand(p, now)
	a.givenBack = false
}

// hand grants places to waiters in their order, as far as there is room.
func (d *Allocator) hand(p *pool, now time.Time) {
	for {
		w, a := d.match(p, now)
		if w == nil {
			return
		}
		p.waiting.Take(&w.item)
		p.turns++
		d.granted.Inc()
		w.granted <- p.grant(d, now, w.ask, a)
	}
}

// match returns the first waiter for whom there is an endpoint, usually the one whose turn it is. If that one can't use
// every endpoint that has room, it may be one behind it.
func (d *Allocator) match(p *pool, now time.Time) (*waiter, *account) {
	first := p.next(now)
	if first == nil {
		return nil, nil
	}
	if a := p.choose(now, first.ask, d); a != nil {
		return first, a
	}
	if !first.ask.choosy(now, p.start(first.ask), p.demand.reserve(now, tierOf(first.ask)) > 0) {
		return nil, nil
	}
	looked := 0
	for item := range p.waiting.Ordered() {
		if looked++; looked > lookBehind {
			break
		}
		if item.Value == first {
			continue
		}
		if a := p.choose(now, item.Value.ask, d); a != nil {
			return item.Value, a
		}
	}
	return nil, nil
}

// handAll serves all queues.
func (d *Allocator) handAll(now time.Time) {
	for _, p := range d.pools {
		d.hand(p, now)
	}
}
