package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// release ends a grant or cancels a queued request. Unknown identifiers are ignored.
func (o *owner) release(now time.Time, from domain.Member, p *pool, message *releaseMessage) {
	h, ok := p.holders[keyOfMember(from)]
	if !ok {
		return
	}
	h.lastContact = now
	if e, ok := h.entries[message.ID]; ok {
		o.removeEntry(e)
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
	o.endGrant(now, g, result)
	o.schedule(now)
}

// renew applies the holder's progress and compares its digests with the owner's
// records. It reports whether they match.
func (o *owner) renew(now time.Time, from domain.Member, p *pool, r *poolRenewal) bool {
	h := p.holder(from, now)
	changes, err := decodeProgress(r.Progress)
	if err != nil {
		return false
	}
	for _, c := range changes {
		if g, ok := h.grants[c.id]; ok {
			g.endpoint.setProgress(g, c.code)
		}
	}
	return h.grantsDigest == r.Grants && h.entriesDigest == r.Requests
}

// list takes the identifiers of everything that a holder has and returns those that the
// owner does not have in that state. The holder then registers them, and so also learns
// of a grant whose notice was lost. Whatever the holder does not list is dropped,
// unless it is so recent that it may have crossed the list in transit.
func (o *owner) list(now time.Time, from domain.Member, p *pool, grants, requests []requestID) []requestID {
	h := p.holder(from, now)
	held := make(map[requestID]bool, len(grants)+len(requests))
	var unknown []requestID
	for _, id := range grants {
		held[id] = true
		if _, ok := h.grants[id]; !ok {
			unknown = append(unknown, id)
		}
	}
	for _, id := range requests {
		held[id] = true
		if _, ok := h.entries[id]; !ok {
			unknown = append(unknown, id)
		}
	}
	o.dropUnlisted(now, h, held)
	o.schedule(now)
	return unknown
}

func (o *owner) dropUnlisted(now time.Time, h *holder, held map[requestID]bool) {
	for id, g := range h.grants {
		if !held[id] && now.Sub(g.since) >= o.options.ListGracePeriod {
			o.counts.Expired++
			o.endGrant(now, g, Result{})
		}
	}
	for id, e := range h.entries {
		if !held[id] && now.Sub(e.queued.Arrived) >= o.options.ListGracePeriod {
			o.counts.Expired++
			o.removeEntry(e)
		}
	}
}

// register takes requests and grants that another owner, or an earlier incarnation of
// this one, knew, and returns the decisions on the requests. A record that a settled
// owner does not know shows that another owner has been active: all holders must then
// be asked again before this owner grants.
func (o *owner) register(now time.Time, from domain.Member, p *pool, records []record) []decision {
	h := p.holder(from, now)
	if o.settled && !h.knows(records) {
		o.resetSettled()
		o.collectAgain = true
	}
	var decisions []decision
	for i := range records {
		r := &records[i]
		if r.Endpoint != "" {
			o.adopt(now, h, p, r)
			continue
		}
		message := acquireMessage{ID: r.ID, Request: r.Request, Mode: r.Mode}
		decisions = append(decisions, o.acquire(now, from, p, &message))
	}
	return decisions
}

// adopt records a grant regardless of the limits, since the slot is already in use.
func (o *owner) adopt(now time.Time, h *holder, p *pool, r *record) {
	if _, ok := h.grants[r.ID]; ok {
		return
	}
	if e, ok := h.entries[r.ID]; ok {
		o.removeEntry(e)
	}
	ep, ok := o.endpoints[r.Endpoint]
	if !ok {
		return
	}
	g := &grant{id: r.ID, holder: h, pool: p, endpoint: ep, request: r.Request, since: now.Add(-r.Held)}
	o.chooser.Granted(now, &ep.state, &r.Request)
	o.addGrant(g)
	ep.setProgress(g, r.Progress)
	o.counts.Adopted++
}
