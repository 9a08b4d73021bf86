package places

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// restSpreadFraction and minRestSpread spread the callers who are told to come back after a rest.
	restSpreadFraction = 0.25
	minRestSpread      = 200 * time.Millisecond
)

// AfterRest returns when a caller is to come back if the endpoints' rest ends after the given time: another time for each caller, so
// that they don't come back at once. It is zero if there is no rest.
func AfterRest(rest time.Duration) time.Duration {
	if rest <= 0 {
		return 0
	}
	return rest + rand.N(max(time.Duration(restSpreadFraction*float64(rest)), minRestSpread))
}

// restEndsIn is the time until the first of the endpoints that the request may use ends its rest, zero if one does not rest.
func (p *pool) restEndsIn(request *Request) time.Duration {
	if !p.gate.AnyRest() {
		return 0
	}
	shortest := time.Duration(math.MaxInt64)
	for _, ep := range p.endpointList {
		if p.gate.Bars(ep.endpoint) || !request.accepts(ep) {
			continue
		}
		shortest = min(shortest, p.gate.RestEndsIn(ep.endpoint))
		if shortest <= 0 {
			return 0
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}

// usableSlots is the number of slots of the endpoints that are neither leaving nor resting.
func (p *pool) usableSlots() int {
	if !p.gate.AnyRest() {
		return p.totalSlots
	}
	n := 0
	for _, ep := range p.endpointList {
		if !ep.endpoint.Leaving && p.gate.RestEndsIn(ep.endpoint) == 0 {
			n += ep.endpoint.Slots
		}
	}
	return n
}

// RestEndsIn is the time until the first endpoint of the service ends its rest, zero if one does not rest.
func (a *Allocator) RestEndsIn(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncDirectory()
	return a.pool(service).restEndsIn(&Request{})
}

// restRefusal is the refusal of a request whose endpoints all rest for longer than it may wait, nil if they don't.
func (p *pool) restRefusal(now time.Time, request *Request, maxWait time.Duration) *Refusal {
	rest := p.restEndsIn(request)
	if rest <= max(maxWait, 0) {
		return nil
	}
	return &Refusal{Err: ErrResting, RetryAfter: AfterRest(rest), Wait: rest, Free: p.freeSlots(), Limited: p.limitedEndpoints()}
}

// refuseDuringRest refuses the waiters that can't wait until the end of the endpoints' rest.
func (p *pool) refuseDuringRest(now time.Time) {
	if p.waiting.Len() == 0 || p.restEndsIn(&Request{}) == 0 {
		return
	}
	var waiters []*waiter
	for item := range p.waiting.Ordered() {
		waiters = append(waiters, item.Value)
	}
	for _, w := range waiters {
		if w.refusal = p.restRefusal(now, w.request, w.until.Sub(now)); w.refusal != nil {
			p.waiting.Remove(&w.item)
			close(w.granted)
		}
	}
}
