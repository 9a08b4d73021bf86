package capacity

import "time"

// quote estimates how a request from another data centre would be served.
func (o *owner) quote(now time.Time, p *pool, request *Request) quote {
	if why, _ := o.admit(now, p, request); why != 0 {
		return quote{Refused: why}
	}
	e := &entry{pool: p, request: *request}
	f := o.forecast(now, e)
	q := quote{FirstToken: f.FirstToken, Total: f.Total, CanRevoke: o.planRevocation(now, e) != nil}
	ahead := o.queue.AheadOf(request.Tier, request.Organisation, o.weight(request.Organisation))
	if ahead > 0 || !p.hasRoom(e.tokens()) {
		q.Wait = p.estimateWait(ahead)
		q.WaitUnknown = p.meanHoldTime == 0
	}
	return q
}

// hasRoom reports whether any endpoint has room for a request of that many tokens.
func (p *pool) hasRoom(tokens int) bool {
	if p.available == 0 {
		return false
	}
	for _, candidate := range p.endpoints {
		if candidate.available && candidate.fits(tokens) {
			return true
		}
	}
	return false
}
