package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// release ends a grant or withdraws an ask. What is not known is ignored.
func (o *owner) release(now time.Time, from domain.Member, p *pool, message *releaseMessage) {
	h, ok := p.holders[lifeOfMember(from)]
	if !ok {
		return
	}
	h.heard = now
	if e, ok := h.entries[message.ID]; ok {
		o.dropEntry(e)
		return
	}
	g, ok := h.grants[message.ID]
	if !ok {
		return
	}
	var result Result
	if message.Result != nil {
		result = *message.Result
	}
	o.end(now, g, result)
	o.place(now)
}

// renew compares a holder's account with the owner's. It reports whether they
// are the same.
func (o *owner) renew(now time.Time, from domain.Member, p *pool, r *poolRenewal) bool {
	h := p.holder(from, now)
	changes, err := decodeProgress(r.Progress)
	if err != nil {
		return false
	}
	for _, c := range changes {
		if g, ok := h.grants[c.id]; ok {
			g.place.progress(g, c.code)
		}
	}
	return h.grantsDigest == r.Grants && h.entriesDigest == r.Asks
}

// list takes the names of all that a holder has and returns those that the owner
// does not know as such: the holder registers them, and learns so of a grant whose
// notice was lost. What the holder does not name is dropped, unless it may have
// crossed the list on the way.
func (o *owner) list(now time.Time, from domain.Member, p *pool, grants, asks []askID) []askID {
	h := p.holder(from, now)
	held := make(map[askID]bool, len(grants)+len(asks))
	var unknown []askID
	for _, id := range grants {
		held[id] = true
		if _, ok := h.grants[id]; !ok {
			unknown = append(unknown, id)
		}
	}
	for _, id := range asks {
		held[id] = true
		if _, ok := h.entries[id]; !ok {
			unknown = append(unknown, id)
		}
	}
	o.dropUnlisted(now, h, held)
	o.place(now)
	return unknown
}

func (o *owner) dropUnlisted(now time.Time, h *holder, held map[askID]bool) {
	for id, g := range h.grants {
		if !held[id] && now.Sub(g.since) >= o.options.ListGracePeriod {
			o.counts.Expired++
			o.end(now, g, Result{})
		}
	}
	for id, e := range h.entries {
		if !held[id] && now.Sub(e.waiting.Arrived) >= o.options.ListGracePeriod {
			o.counts.Expired++
			o.dropEntry(e)
		}
	}
}

// register takes asks and grants that another owner, or an earlier life of this
// one, knew. It returns the rulings on the asks. Anything that a settled owner did
// not know shows that another one has been at work: all holders must be asked
// again before it grants.
func (o *owner) register(now time.Time, from domain.Member, p *pool, records []record) []ruling {
	h := p.holder(from, now)
	if o.settled && !h.knows(records) {
		o.unsettle()
		o.collectAgain = true
	}
	var rulings []ruling
	for i := range records {
		r := &records[i]
		if r.Endpoint != "" {
			o.adopt(now, h, p, r)
			continue
		}
		request := askRequest{ID: r.ID, Ask: r.Ask, Mode: r.Mode}
		rulings = append(rulings, o.ask(now, from, p, &request))
	}
	return rulings
}

// adopt takes a grant into the accounts, whatever the limits say: it is being
// used.
func (o *owner) adopt(now time.Time, h *holder, p *pool, r *record) {
	if _, ok := h.grants[r.ID]; ok {
		return
	}
	if e, ok := h.entries[r.ID]; ok {
		o.dropEntry(e)
	}
	pl, ok := o.places[r.Endpoint]
	if !ok {
		return
	}
	g := &grant{id: r.ID, holder: h, pool: p, place: pl, ask: r.Ask, since: now.Add(-r.Held)}
	o.chooser.Granted(now, &pl.state, &r.Ask)
	o.hold(g)
	pl.progress(g, r.Progress)
	o.counts.Adopted++
}
