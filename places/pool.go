package places

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
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
	held mean
	// first is the mean time in seconds from a dispatch to the first byte.
	first mean
	turns int
	// places is the sum over the endpoints that are not leaving.
	places int
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

// defaultFirst is the time to the first byte until it is measured.
const defaultFirst = 50 * time.Millisecond

func newPool(service string, options routing.Options) *pool {
	return &pool{
		service:  service,
		accounts: make(map[domain.EndpointID]*account),
		router:   routing.NewRouter(options),
		waiting:  queue.New[*waiter](maxWaiting),
		held:     mean{value: defaultHeld.Seconds()},
		first:    mean{value: defaultFirst.Seconds()},
	}
}

// choose returns the endpoint for the ask, nil if none has room. The node's own part of the near endpoints goes first,
// then the near ones, then all: bytes between data centres cost, and the way is longer.
func (p *pool) choose(now time.Time, ask *Ask, d *Desk) *account {
	fleet := d.fleet()
	p.collect(ask, p.room(now, ask, fleet), d.options, fleet)
	if !p.keepInService(now, ask) || !p.keepInTime(now, ask) || len(p.scratch) == 0 {
		return nil
	}
	near := func(a *account) bool {
		return a.endpoint.DataCentre == d.options.DataCentre && float64(a.state.Requests) < localFill*float64(a.endpoint.Slots)
	}
	if fleet.Near <= sharers || !p.keep(func(a *account) bool { return near(a) && a.mine(d.options, fleet) }) {
		p.keep(near)
	}
	if fleet.Known > sampleFrom {
		p.sample()
	}
	w := capacity.Waiting{Ask: ask.forRouter(), Arrived: now, FirstTokenDue: ask.FirstByteDue, Due: ask.Due, Pressing: true}
	at, ok := p.router.Choose(now, &w, p.scratch)
	if !ok {
		return nil
	}
	return p.chosen[at]
}

// room is what the ask may take. A node with much less than an equal part of the service's places may go beyond an
// endpoint's, which keeps one that has just started from being shut out by the others. Requests that will be late leave
// some places to those that can be on time, which would otherwise find none when they come.
func (p *pool) room(now time.Time, ask *Ask, fleet gossip.Fleet) room {
	if p.outstanding()*starvedPart < p.places/max(fleet.Known, 1) {
		return room{beyond: true}
	}
	r := room{rounds: p.rounds(now, ask, fleet)}
	if fleet.Known > sampleFrom {
		r.foreign = foreignReserve
	}
	if ask.late(now, p.start()) && !ask.Urgent {
		r.reserve = lateReserve
	}
	return r
}

// rounds is how many requests for each of its places an endpoint may have: more than one only for work that ends before
// the other nodes would hear of it. Their reports then say what an endpoint had, not what it has, so that a node would
// wait for places that are free. The endpoint's own queue costs a round of short work; it is used as far as that leaves
// the request on time.
func (p *pool) rounds(now time.Time, ask *Ask, fleet gossip.Fleet) float64 {
	if fleet.Known <= 1 || p.held.value >= quickWork.Seconds() || ask.late(now, p.start()) {
		return 1
	}
	left := quickPart * ask.FirstByteDue.Sub(now).Seconds()
	return min(max(left/p.held.value, 1), quickRounds)
}

// collect takes the endpoints that have room for the ask.
func (p *pool) collect(ask *Ask, r room, o Options, fleet gossip.Fleet) {
	p.scratch, p.chosen = p.scratch[:0], p.chosen[:0]
	for _, a := range p.accounts {
		if a.endpoint.Leaving || ask.excludes(a.id()) || !a.hasRoom(r, a.mine(o, fleet)) {
			continue
		}
		a.refresh()
		p.scratch = append(p.scratch, &a.state)
		p.chosen = append(p.chosen, a)
	}
}

// keep leaves only the wanted candidates, if there are any.
func (p *pool) keep(wanted func(*account) bool) bool {
	kept := 0
	for i, a := range p.chosen {
		if wanted(a) {
			p.swap(kept, i)
			kept++
		}
	}
	if kept == 0 {
		return false
	}
	p.chosen, p.scratch = p.chosen[:kept], p.scratch[:kept]
	return true
}

// keepInService leaves only the candidates that nothing is known against. It reports false if there are none, but another
// endpoint, full now, would be: one that has crashed has many places free, and under overload all that wait would go
// there. On a day on which 23 of 60 endpoints crashed in a burst under 72 nodes, that was 40,000 failed connections in
// four seconds, and one request in five refused for them.
func (p *pool) keepInService(now time.Time, ask *Ask) bool {
	inService := func(a *account) bool { return a.inService(now, p.router) }
	return p.keep(inService) || !p.other(ask, inService)
}

// other reports whether the ask could use another endpoint, full or not.
func (p *pool) other(ask *Ask, wanted func(*account) bool) bool {
	for _, a := range p.accounts {
		if !a.endpoint.Leaving && !ask.excludes(a.id()) && wanted(a) {
			return true
		}
	}
	return false
}

// keepInTime leaves only the candidates that are likely to end the answer while the caller still waits: one that is cut
// off has kept its place for nothing. It reports false if none of them is, but another endpoint, full now, would be.
func (p *pool) keepInTime(now time.Time, ask *Ask) bool {
	if ask.AnswerTokens < longAnswer {
		return true
	}
	routed, left := ask.forRouter(), time.Duration(inTimePart*float64(ask.Due.Sub(now)))
	inTime := func(a *account) bool { return p.router.Forecast(now, &a.state, routed).Total <= left }
	return p.keep(inTime) || !p.other(ask, func(a *account) bool { return a.inService(now, p.router) && inTime(a) })
}

// sample leaves some candidates by chance.
func (p *pool) sample() {
	n := min(sample, len(p.chosen))
	for i := range n {
		p.swap(i, i+rand.IntN(len(p.chosen)-i))
	}
	p.chosen, p.scratch = p.chosen[:n], p.scratch[:n]
}

func (p *pool) swap(i, j int) {
	p.chosen[i], p.chosen[j] = p.chosen[j], p.chosen[i]
	p.scratch[i], p.scratch[j] = p.scratch[j], p.scratch[i]
}

// grant gives the ask a place.
func (p *pool) grant(d *Desk, now time.Time, ask *Ask, a *account) *Place {
	place := newPlace(d, p, a, ask, now)
	a.own.add(place.load)
	a.refresh()
	p.router.Granted(now, &a.state, place.ask)
	return place
}

// countPlaces sums the places up.
func (p *pool) countPlaces() {
	p.places = 0
	for _, a := range p.accounts {
		if !a.endpoint.Leaving {
			p.places += a.endpoint.Slots
		}
	}
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
func (p *pool) next(now time.Time) *waiter {
	for p.waiting.Len() > 0 {
		item := p.turn()
		w := item.Value
		if rank := w.ask.rank(now, p.start()); rank != item.Tier {
			// It can't be on time any more: those that can go first.
			p.waiting.Remove(item)
			w.item = queueItem(w, now, p.start())
			p.waiting.Push(&w.item)
			continue
		}
		return w
	}
	return nil
}

func (p *pool) turn() *queue.Item[*waiter] {
	if (p.turns+1)%lowestTurn == 0 {
		if item := p.firstOfLowest(); item != nil {
			return item
		}
	}
	return p.waiting.Peek(func(*queue.Item[*waiter]) bool { return true })
}

// start is the time that a request takes from its dispatch to its first byte.
func (p *pool) start() time.Duration { return time.Duration(p.first.value * float64(time.Second)) }

// firstOfLowest returns the first waiter of the lowest tier that has any who can be on time.
func (p *pool) firstOfLowest() *queue.Item[*waiter] {
	lowest, found := domain.Tier(0), false
	for rank, count := range p.waiting.Tiers() {
		if count > 0 && rank%ranks == 0 {
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
