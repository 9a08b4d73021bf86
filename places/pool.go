package places

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
	"hawthornrill.example/hawthornrill/routing"
)

// pool is one service's endpoints and the asks that wait for them. The desk's mutex guards it.
type pool struct {
	service  string
	accounts map[domain.EndpointID]*account
	router   *routing.Router
	waiting  *queue.Queue[*waiter]
	// held is the mean time in seconds that a request of this node keeps a place.
	held  mean
	turns int
	// scratch and chosen are used again by each decision.
	scratch []*capacity.EndpointState
	chosen  []*account
}

// waiter is an ask in the queue.
type waiter struct {
	item  queue.Item[*waiter]
	ask   *Ask
	since time.Time
	// granted receives the place, or is closed if there will be none.
	granted chan *Place
}

// defaultHeld is the time that a place is thought to be kept until it is measured.
const defaultHeld = 500 * time.Millisecond

func newPool(service string, options routing.Options) *pool {
	return &pool{
		service:  service,
		accounts: make(map[domain.EndpointID]*account),
		router:   routing.NewRouter(options),
		waiting:  queue.New[*waiter](maxWaiting),
		held:     mean{value: defaultHeld.Seconds()},
	}
}

// choose returns the endpoint for the ask, nil if none has room.
func (p *pool) choose(now time.Time, ask *Ask, nodes int, local domain.DataCentre) *account {
	p.scratch, p.chosen = p.scratch[:0], p.chosen[:0]
	for _, a := range p.accounts {
		if a.endpoint.Leaving || ask.excludes(a.id()) || !a.hasRoom(nodes) {
			continue
		}
		a.refresh()
		p.scratch = append(p.scratch, &a.state)
		p.chosen = append(p.chosen, a)
	}
	if len(p.scratch) == 0 {
		return nil
	}
	p.preferLocal(local)
	w := capacity.Waiting{Ask: ask.forRouter(), Arrived: now, FirstTokenDue: ask.FirstByteDue, Due: ask.Due, Pressing: true}
	at, ok := p.router.Choose(now, &w, p.scratch)
	if !ok {
		return nil
	}
	return p.chosen[at]
}

// preferLocal leaves only the endpoints of the node's own data centre if one of them is less than localFill full:
// bytes between data centres cost, and the way is longer.
func (p *pool) preferLocal(local domain.DataCentre) {
	near := 0
	for _, a := range p.chosen {
		if a.endpoint.DataCentre == local && float64(a.state.Requests) < localFill*float64(a.endpoint.Slots) {
			near++
		}
	}
	if near == 0 {
		return
	}
	kept := 0
	for i, a := range p.chosen {
		if a.endpoint.DataCentre == local && float64(a.state.Requests) < localFill*float64(a.endpoint.Slots) {
			p.chosen[kept], p.scratch[kept] = a, p.scratch[i]
			kept++
		}
	}
	p.chosen, p.scratch = p.chosen[:kept], p.scratch[:kept]
}

// grant gives the ask a place.
func (p *pool) grant(d *Desk, now time.Time, ask *Ask, a *account) *Place {
	place := newPlace(d, p, a, ask, now)
	a.own.add(place.load)
	a.refresh()
	p.router.Granted(now, &a.state, place.ask)
	return place
}

// endpoints counts those that may take the ask, and the places free among all.
func (p *pool) endpoints(ask *Ask) (usable, free int) {
	for _, a := range p.accounts {
		if a.endpoint.Leaving {
			continue
		}
		free += a.free()
		if !ask.excludes(a.id()) {
			usable++
		}
	}
	return usable, free
}

// outstanding counts this node's own requests.
func (p *pool) outstanding() int {
	n := 0
	for _, a := range p.accounts {
		n += a.own.requests
	}
	return n
}

// predictedWait is how long an ask with so many before it waits: by Little's law this node's places become free at the
// rate of its outstanding requests by the mean time that they keep a place.
func (p *pool) predictedWait(ahead int) time.Duration {
	outstanding := max(p.outstanding(), 1)
	return time.Duration(float64(ahead+1) * p.held.value / float64(outstanding) * float64(time.Second))
}

// next returns the waiter whose turn it is. Of each lowestTurn turns one goes to the lowest tier that waits, so that
// no tier is shut out altogether while another has more requests than there are places.
func (p *pool) next() *waiter {
	if p.waiting.Len() == 0 {
		return nil
	}
	if (p.turns+1)%lowestTurn == 0 {
		if item := p.firstOfLowest(); item != nil {
			return item.Value
		}
	}
	item := p.waiting.Peek(func(*queue.Item[*waiter]) bool { return true })
	return item.Value
}

func (p *pool) firstOfLowest() *queue.Item[*waiter] {
	lowest, found := domain.Tier(0), false
	for rank, count := range p.waiting.Tiers() {
		if count > 0 {
			lowest, found = rank, true
		}
	}
	if !found {
		return nil
	}
	for item := range p.waiting.TierPositions(lowest) {
		return item
	}
	return nil
}
