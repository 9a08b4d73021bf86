package places

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
	"hawthornrill.example/hawthornrill/routing"
)

// pool holds one service's endpoints and its queue of requests. It is guarded by the allocator's mutex.
type pool struct {
	service   string
	endpoints map[domain.EndpointID]*trackedEndpoint
	// endpointList holds the same endpoints for iteration, which is three times as fast as over the map.
	endpointList []*trackedEndpoint
	router       *routing.Router
	waiting      *queue.Queue[*waiter]
	// holdTime is the mean time in seconds that a request of this node holds a slot.
	holdTime mean
	// firstByteTimes are the mean times from dispatch to first byte.
	firstByteTimes firstByteTimes
	demand         demand
	gate           Gate
	queuedGrants   int
	// cacheTokens returns the cache memory in tokens of each endpoint, zero if unknown.
	cacheTokens func() int
	// totalSlots is the sum over the endpoints that are not leaving.
	totalSlots int
	// candidateStates and candidates are buffers reused by each decision.
	candidateStates []*capacity.EndpointState
	candidates      []*trackedEndpoint
}

// waiter is a queued request.
type waiter struct {
	item    queue.Item[*waiter]
	request *Request
	since   time.Time
	// until is when the request stops waiting.
	until time.Time
	// granted receives the place, or is closed if the request was evicted.
	granted chan *Place
	// refusal is why the request was evicted, nil if the queue was full. It is set before granted is closed.
	refusal *Refusal
}

const (
	// defaultHoldTime is the assumed hold time of a slot at an engine until it is measured, plainHoldTime that at a
	// plain service: of 15,977 and 4,864 plain calls on two days the median was 36 and 26 ms, the 90th percentile 88
	// and 56 ms.
	defaultHoldTime = 500 * time.Millisecond
	plainHoldTime   = 50 * time.Millisecond
)

func newPool(service string, options Options) *pool {
	return &pool{
		service:        service,
		endpoints:      make(map[domain.EndpointID]*trackedEndpoint),
		router:         routing.NewRouter(options.Routing),
		cacheTokens:    func() int { return options.CacheTokens(service) },
		waiting:        queue.New[*waiter](maxWaiting),
		firstByteTimes: newFirstByteTimes(),
		demand:         newDemand(),
		gate:           options.Gate,
	}
}

// grant grants the request a place.
func (p *pool) grant(a *Allocator, now time.Time, request *Request, ep *trackedEndpoint) *Place {
	place := newPlace(a, p, ep, request, now)
	place.Limit = p.gate.Take(ep.endpoint)
	p.demand.forTier(demandTierOf(request)).served.add(now)
	ep.ownLoad.add(place.load)
	ep.refreshState()
	p.router.Granted(now, &ep.state, place.capacityRequest)
	return place
}

// rebuildList rebuilds the list of endpoints and the sum of their slots.
func (p *pool) rebuildList() {
	p.endpointList, p.totalSlots = p.endpointList[:0], 0
	for _, ep := range p.endpoints {
		p.endpointList = append(p.endpointList, ep)
	}
	for _, ep := range p.endpointList {
		if !ep.endpoint.Leaving {
			p.totalSlots += ep.endpoint.Slots
		}
	}
}

// Slots returns the number of slots of the service's endpoints that are not leaving.
func (a *Allocator) Slots(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncDirectory()
	return a.pool(service).totalSlots
}

// freeSlots counts the unused slots.
func (p *pool) freeSlots() int {
	n := 0
	for _, ep := range p.endpointList {
		if !ep.endpoint.Leaving {
			n += ep.freeSlots()
		}
	}
	return n
}

// limitedEndpoints counts the endpoints whose own limit or rest allows this node no request now.
func (p *pool) limitedEndpoints() int {
	n := 0
	for _, ep := range p.endpointList {
		if !p.gate.Bars(ep.endpoint) && !p.gate.Allows(ep.endpoint) {
			n++
		}
	}
	return n
}

// outstanding counts this node's own requests.
func (p *pool) outstanding() int {
	n := 0
	for _, ep := range p.endpointList {
		n += ep.ownLoad.requests
	}
	return n
}

// predictedWait is the predicted wait of a request with the given number of requests ahead of it. By Little's law this
// node's slots become free at the rate of its outstanding requests divided by their mean hold time.
func (p *pool) predictedWait(request *Request, ahead int) time.Duration {
	outstanding := max(p.outstanding(), 1)
	return time.Duration(float64(ahead+1) * p.expectedHoldTime(request.capacityRequest) / float64(outstanding) * float64(time.Second))
}

// expectedHoldTime is the mean time in seconds that a request holds a slot, a default by the kind of request until
// there is a sample. With the engines' default for plain calls too, nodes that had just been restarted refused them:
// 585 in the second after all 69 nodes of a large deployment had been restarted, though half of the plain calls of that
// second were answered in 44 ms.
func (p *pool) expectedHoldTime(request *capacity.Request) float64 {
	switch {
	case p.holdTime.samples > 0:
		return p.holdTime.value
	case request.PromptTokens == 0 && request.AnswerTokens == 0:
		return plainHoldTime.Seconds()
	default:
		return defaultHoldTime.Seconds()
	}
}

// recordHold records the time in seconds that the request held a slot.
func (p *pool) recordHold(request *capacity.Request, tier demandTier, holdTime float64) {
	p.holdTime.value = p.expectedHoldTime(request)
	p.holdTime.add(holdTime)
	p.demand.forTier(tier).recordHold(holdTime)
}

// next returns the waiter whose turn it is. One of every lowerTierInterval grants goes to a tier below the highest, to
// each in rotation, so that no tier is starved while a higher one has more requests than there are slots.
func (p *pool) next(now time.Time) *waiter {
	for p.waiting.Len() > 0 {
		item := p.nextItem()
		w := item.Value
		if rank := w.request.rank(now, p.firstByteTime(w.request)); rank != item.Tier {
			// The request can no longer be on time: requeue it behind those that can.
			p.waiting.Remove(item)
			w.item = queueItem(w, now, p.firstByteTime(w.request))
			p.waiting.Push(&w.item)
			continue
		}
		return w
	}
	return nil
}

func (p *pool) nextItem() *queue.Item[*waiter] {
	if (p.queuedGrants+1)%lowerTierInterval == 0 {
		if item := p.firstOfLowerTier((p.queuedGrants + 1) / lowerTierInterval); item != nil {
			return item
		}
	}
	return p.waiting.Peek(func(*queue.Item[*waiter]) bool { return true })
}

// firstByteTime is the predicted time from the request's dispatch to its first byte.
func (p *pool) firstByteTime(request *Request) time.Duration {
	return p.firstByteTimes.mean(request.PromptTokens)
}

// firstOfLowerTier returns the first waiter of a tier below the highest that has any that can be on time, of each such
// tier in rotation, or nil if there is none.
func (p *pool) firstOfLowerTier(rotation int) *queue.Item[*waiter] {
	var waiting []domain.Tier
	for rank, count := range p.waiting.Tiers() {
		if count > 0 && rank%ranksPerTier == 0 {
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
