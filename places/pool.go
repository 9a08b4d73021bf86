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
	// list holds the same accounts, to go through them: three times as fast as the map.
	list    []*account
	router  *routing.Router
	waiting *queue.Queue[*waiter]
	// held is the mean time in seconds that a request of this node keeps a place.
	held mean
	// firsts are the mean times from a dispatch to the first byte.
	firsts firstBytes
	demand demand
	limits Limits
	turns  int
	// cache returns the memory in tokens of each endpoint, zero if it is not known.
	cache func() int
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

const (
	// defaultHeld is the time that a place at an engine is thought to be kept until it is measured, and plainHeld that at
	// a plain service: of 15,977 and 4,864 plain calls on two days the middle one took 36 and 26 ms, nine in ten less than
	// 88 and 56 ms.
	defaultHeld = 500 * time.Millisecond
	plainHeld   = 50 * time.Millisecond
)

func newPool(service string, options Options) *pool {
	return &pool{
		service:  service,
		accounts: make(map[domain.EndpointID]*account),
		router:   routing.NewRouter(options.Routing),
		cache:    func() int { return options.CacheTokens(service) },
		waiting:  queue.New[*waiter](maxWaiting),
		firsts:   newFirstBytes(),
		demand:   newDemand(),
		limits:   options.Limits,
	}
}

// grant gives the ask a place.
func (p *pool) grant(d *Desk, now time.Time, ask *Ask, a *account) *Place {
	place := newPlace(d, p, a, ask, now)
	place.Limit = p.limits.Take(a.endpoint)
	p.demand.of(tierOf(ask)).served.add(now)
	a.own.add(place.load)
	a.refresh()
	p.router.Granted(now, &a.state, place.ask)
	return place
}

// relist brings the list of accounts up to date and sums their places up.
func (p *pool) relist() {
	p.list, p.places = p.list[:0], 0
	for _, a := range p.accounts {
		p.list = append(p.list, a)
	}
	for _, a := range p.list {
		if !a.endpoint.Leaving {
			p.places += a.endpoint.Slots
		}
	}
}

// free counts the places that nobody holds.
func (p *pool) free() int {
	n := 0
	for _, a := range p.list {
		if !a.endpoint.Leaving {
			n += a.free()
		}
	}
	return n
}

// limited counts the endpoints at which their own limit leaves this node nothing now.
func (p *pool) limited() int {
	n := 0
	for _, a := range p.list {
		if !a.endpoint.Leaving && !p.limits.Allows(a.endpoint) {
			n++
		}
	}
	return n
}

// outstanding counts this node's own requests.
func (p *pool) outstanding() int {
	n := 0
	for _, a := range p.list {
		n += a.own.requests
	}
	return n
}

// predictedWait is how long an ask with so many before it waits: by Little's law this node's places become free at the
// rate of its outstanding requests by the mean time that they keep a place.
func (p *pool) predictedWait(ask *Ask, ahead int) time.Duration {
	outstanding := max(p.outstanding(), 1)
	return time.Duration(float64(ahead+1) * p.heldFor(ask.routed) / float64(outstanding) * float64(time.Second))
}

// heldFor is the mean time in seconds that a request keeps a place, a guess from the ask's kind until there is a sample. With
// the engines' guess for plain calls too, nodes that had just been restarted refused them: 585 in the second after all 69
// nodes of a large deployment had been restarted, though half of the plain calls of that second were answered in 44 ms.
func (p *pool) heldFor(ask *capacity.Request) float64 {
	switch {
	case p.held.samples > 0:
		return p.held.value
	case ask.PromptTokens == 0 && ask.AnswerTokens == 0:
		return plainHeld.Seconds()
	default:
		return defaultHeld.Seconds()
	}
}

// keep counts the time in seconds that the ask's request kept a place.
func (p *pool) keep(ask *capacity.Request, of tier, held float64) {
	p.held.value = p.heldFor(ask)
	p.held.add(held)
	p.demand.of(of).kept(held)
}

// next returns the waiter whose turn it is. Of each lowerTurn turns one goes to a tier below the first, to each in
// rotation, so that no tier is shut out altogether while another has more requests than there are places.
func (p *pool) next(now time.Time) *waiter {
	for p.waiting.Len() > 0 {
		item := p.turn()
		w := item.Value
		if rank := w.ask.rank(now, p.start(w.ask)); rank != item.Tier {
			// It can't be on time any more: those that can go first.
			p.waiting.Remove(item)
			w.item = queueItem(w, now, p.start(w.ask))
			p.waiting.Push(&w.item)
			continue
		}
		return w
	}
	return nil
}

func (p *pool) turn() *queue.Item[*waiter] {
	if (p.turns+1)%lowerTurn == 0 {
		if item := p.firstOfLower((p.turns + 1) / lowerTurn); item != nil {
			return item
		}
	}
	return p.waiting.Peek(func(*queue.Item[*waiter]) bool { return true })
}

// start is the time that the request takes from its dispatch to its first byte.
func (p *pool) start(ask *Ask) time.Duration { return p.firsts.of(ask.PromptTokens) }

// firstOfLower returns the first waiter of a tier below the highest that has any who can be on time, of each such tier in
// rotation; nil if there is none.
func (p *pool) firstOfLower(rotation int) *queue.Item[*waiter] {
	var waiting []domain.Tier
	for rank, count := range p.waiting.Tiers() {
		if count > 0 && rank%ranks == 0 {
			waiting = append(waiting, rank)
		}
	}
	if len(waiting) < 2 {
		return nil
	}
	lower := waiting[1:]
	for item := range p.waiting.TierPositions(lower[rotation%len(lower)]) {
		return item
	}
	return nil
}
