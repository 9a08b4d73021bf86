package capacity

import "time"

// quote estimates what would become of an ask from another data centre.
func (o *owner) quote(now time.Time, p *pool, ask *Request) quote {
	if why, _ := o.admit(now, p, ask); why != 0 {
		return quote{Refused: why}
	}
	e := &entry{pool: p, ask: *ask}
	f := o.forecast(now, e)
	q := quote{FirstToken: f.FirstToken, Total: f.Total, Lower: o.victims(now, e) != nil}
	ahead := o.queue.AheadOf(ask.Tier, ask.Organisation, o.weight(ask.Organisation))
	if ahead > 0 || !p.hasRoom(e.tokens()) {
		q.Wait = p.wait(ahead)
		q.Unknown = p.held == 0
	}
	return q
}

// hasRoom reports whether any place could take an ask of so many tokens at once.
func (p *pool) hasRoom(tokens int) bool {
	if p.open == 0 {
		return false
	}
	for _, candidate := range p.places {
		if candidate.open && candidate.fits(tokens) {
			return true
		}
	}
	return false
}
