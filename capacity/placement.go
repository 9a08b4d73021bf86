package capacity

import "time"

// place serves the queue: as long as places are free, it grants them to the first
// asks in order that can use them.
func (o *owner) place(now time.Time) {
	if !o.settled {
		return
	}
	o.round++
	for {
		e, p := o.next(now)
		if e == nil {
			return
		}
		if o.hopeless(now, e, p) {
			e.missRound = o.round
			o.refuseHopeless(now, e)
			continue
		}
		o.grant(now, e, p)
	}
}

// next returns the first ask in order that can be placed, and its place.
func (o *owner) next(now time.Time) (*entry, *place) {
	left := o.placeable()
	if left == 0 {
		return nil, nil
	}
	for item := range o.queue.Ordered() {
		e := item.Value
		if e.pool.open == 0 {
			continue
		}
		if e.missRound != o.round && e.pool.missed(o.round) < o.options.LookAhead {
			if p := o.choose(now, e); p != nil {
				return e, p
			}
			e.missRound = o.round
			e.pool.miss(o.round)
		}
		left--
		if left == 0 {
			return nil, nil
		}
	}
	return nil, nil
}

// placeable counts the asks of the pools that have room.
func (o *owner) placeable() int {
	count := 0
	for _, p := range o.poolList {
		if p.open > 0 && p.missed(o.round) < o.options.LookAhead {
			count += p.waiting
		}
	}
	return count
}

// choose returns the place that the Chooser takes for the ask, or nil.
func (o *owner) choose(now time.Time, e *entry) *place {
	o.candidates, o.choices = o.candidates[:0], o.choices[:0]
	tokens := e.tokens()
	for _, p := range e.pool.places {
		if p.open && p.reservedRound != o.round && p.fits(tokens) {
			o.candidates = append(o.candidates, &p.state)
			o.choices = append(o.choices, p)
		}
	}
	if len(o.candidates) == 0 {
		o.reserve(e.pool)
		return nil
	}
	index, ok := o.chooser.Choose(now, &e.waiting, o.candidates)
	if !ok {
		return nil
	}
	return o.choices[index]
}

// reserve keeps one place, the one with most tokens free, from the asks behind
// the first one that needs more than is free anywhere, lest small asks keep a
// large one waiting for ever.
func (o *owner) reserve(p *pool) {
	if p.reservedRound == o.round {
		return
	}
	p.reservedRound = o.round
	var best *place
	for _, candidate := range p.places {
		if candidate.open && (best == nil || candidate.freeTokens() > best.freeTokens()) {
			best = candidate
		}
	}
	if best != nil {
		best.reservedRound = o.round
	}
}

func (p *place) freeTokens() int { return p.state.TokenLimit - p.state.ReservedTokens }

// hopeless reports whether the ask would be late although it is placed now.
func (o *owner) hopeless(now time.Time, e *entry, p *place) bool {
	f := o.chooser.Forecast(now, &p.state, &e.ask)
	return o.certain(f.Total) > e.waiting.Due.Sub(now)
}

// certain returns the part of an estimated time that counts against an ask.
func (o *owner) certain(d time.Duration) time.Duration {
	return time.Duration(o.options.ForecastFactor * float64(d))
}

// refuseHopeless lets the client try other data centres if it may, else refuses.
func (o *owner) refuseHopeless(now time.Time, e *entry) {
	if e.seeking {
		return
	}
	if o.maySeek(now, e, deadlineAtRisk) {
		o.seek(now, e, deadlineAtRisk)
		return
	}
	o.refuse(now, e, reasonDeadline)
}

// grant gives the ask the place.
func (o *owner) grant(now time.Time, e *entry, p *place) {
	o.queue.Take(&e.item)
	o.dropEntry(e)
	g := &grant{id: e.id, holder: e.holder, pool: e.pool, place: p, ask: e.ask, since: now}
	o.chooser.Granted(now, &p.state, &e.ask)
	o.hold(g)
	o.counts.Granted++
	if e != o.answering {
		o.send(e.holder, e.pool, ruling{ID: e.id, Verdict: verdictGranted, Endpoint: p.state.ID})
	}
}

// hold puts a grant into the accounts.
func (o *owner) hold(g *grant) {
	g.ask.Blocks, g.ask.Session, g.ask.Name = nil, "", ""
	g.holder.addGrant(g)
	g.place.add(g)
}

// unplace takes a grant out of its place's account.
func (o *owner) unplace(g *grant) {
	g.place.remove(g)
	delete(o.revoking, g)
	if g.beneficiary != nil {
		g.beneficiary.victim = nil
		g.beneficiary = nil
	}
	if g.place.removed && g.place.state.Requests == 0 {
		delete(o.places, g.place.state.ID)
	}
	o.bound()
}

// end takes a grant out of all accounts and tells the Chooser.
func (o *owner) end(now time.Time, g *grant, result Result) {
	g.holder.removeGrant(g)
	o.unplace(g)
	if result.Dispatched {
		g.pool.observeHold(now.Sub(g.since))
	}
	o.chooser.Observe(now, &g.place.state, &g.ask, result)
}
