package capacity

import "time"

// schedule grants free slots to the first requests in queue order that can use them,
// until no more can be placed.
func (o *owner) schedule(now time.Time) {
	if !o.settled {
		return
	}
	o.round++
	for {
		e, p := o.nextPlaceable(now)
		if e == nil {
			return
		}
		if o.isTooLate(now, e, p) {
			e.skipRound = o.round
			o.refuseTooLate(now, e)
			continue
		}
		o.grant(now, e, p)
	}
}

// nextPlaceable returns the first request in queue order that can be placed, and its
// endpoint.
func (o *owner) nextPlaceable(now time.Time) (*entry, *ownedEndpoint) {
	left := o.countPlaceable()
	if left == 0 {
		return nil, nil
	}
	for item := range o.queue.Ordered() {
		e := item.Value
		if e.pool.available == 0 {
			continue
		}
		if e.skipRound != o.round && e.pool.skippedIn(o.round) < o.options.LookAhead {
			if p := o.choose(now, e); p != nil {
				return e, p
			}
			e.skipRound = o.round
			e.pool.skip(o.round)
		}
		left--
		if left == 0 {
			return nil, nil
		}
	}
	return nil, nil
}

// countPlaceable counts the requests of the pools that have room.
func (o *owner) countPlaceable() int {
	count := 0
	for _, p := range o.poolList {
		if p.available > 0 && p.skippedIn(o.round) < o.options.LookAhead {
			count += p.waiting
		}
	}
	return count
}

// choose returns the endpoint that the Chooser selects for the request, or nil.
func (o *owner) choose(now time.Time, e *entry) *ownedEndpoint {
	o.candidates, o.candidateEndpoints = o.candidates[:0], o.candidateEndpoints[:0]
	tokens := e.tokens()
	for _, p := range e.pool.endpoints {
		if p.available && p.reservedRound != o.round && p.fits(tokens) {
			o.candidates = append(o.candidates, &p.state)
			o.candidateEndpoints = append(o.candidateEndpoints, p)
		}
	}
	if len(o.candidates) == 0 {
		o.reserve(e.pool)
		return nil
	}
	index, ok := o.chooser.Choose(now, &e.queued, o.candidates)
	if !ok {
		return nil
	}
	return o.candidateEndpoints[index]
}

// reserve keeps the endpoint with the most free tokens from the requests behind the
// first one that needs more tokens than any endpoint has free, so that small requests
// can't starve a large one.
func (o *owner) reserve(p *pool) {
	if p.reservedRound == o.round {
		return
	}
	p.reservedRound = o.round
	var best *ownedEndpoint
	for _, candidate := range p.endpoints {
		if candidate.available && (best == nil || candidate.freeTokens() > best.freeTokens()) {
			best = candidate
		}
	}
	if best != nil {
		best.reservedRound = o.round
	}
}

func (p *ownedEndpoint) freeTokens() int { return p.state.TokenLimit - p.state.ReservedTokens }

// isTooLate reports whether the request would be late even if it were placed now.
func (o *owner) isTooLate(now time.Time, e *entry, p *ownedEndpoint) bool {
	f := o.chooser.Forecast(now, &p.state, &e.request)
	return o.discounted(f.Total) > e.queued.Due.Sub(now)
}

// discounted returns the part of an estimated time that may lead to a refusal.
func (o *owner) discounted(d time.Duration) time.Duration {
	return time.Duration(o.options.ForecastFactor * float64(d))
}

// refuseTooLate sends the client to other data centres if that is allowed, and refuses
// the request otherwise.
func (o *owner) refuseTooLate(now time.Time, e *entry) {
	if e.searching {
		return
	}
	if o.maySearch(now, e, deadlineAtRisk) {
		o.startSearch(now, e, deadlineAtRisk)
		return
	}
	o.refuse(now, e, reasonDeadline)
}

// grant grants the request a slot at the endpoint.
func (o *owner) grant(now time.Time, e *entry, p *ownedEndpoint) {
	o.queue.Take(&e.item)
	o.removeEntry(e)
	g := &grant{id: e.id, holder: e.holder, pool: e.pool, endpoint: p, request: e.request, since: now}
	o.chooser.Granted(now, &p.state, &e.request)
	o.addGrant(g)
	o.counts.Granted++
	if e != o.deciding {
		o.send(e.holder, e.pool, decision{ID: e.id, Kind: decisionGranted, Endpoint: p.state.ID})
	}
}

// addGrant records a grant with its holder and endpoint.
func (o *owner) addGrant(g *grant) {
	g.request.Blocks, g.request.Session, g.request.Name = nil, "", ""
	g.holder.addGrant(g)
	g.endpoint.add(g)
}

// removeGrant takes a grant out of its endpoint's records.
func (o *owner) removeGrant(g *grant) {
	g.endpoint.remove(g)
	delete(o.revoking, g)
	if g.beneficiary != nil {
		g.beneficiary.victim = nil
		g.beneficiary = nil
	}
	if g.endpoint.removed && g.endpoint.state.Requests == 0 {
		delete(o.endpoints, g.endpoint.state.ID)
	}
	o.updateQueueLimit()
}

// endGrant takes a grant out of all records and reports its result to the Chooser.
func (o *owner) endGrant(now time.Time, g *grant, result Result) {
	g.holder.removeGrant(g)
	o.removeGrant(g)
	if result.Dispatched {
		g.pool.observeHold(now.Sub(g.since))
	}
	o.chooser.Observe(now, &g.endpoint.state, &g.request, result)
}
