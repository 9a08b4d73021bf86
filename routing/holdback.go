package routing

import "slices"

// holdBack reports whether the ask had better wait for an endpoint that has no
// room now: with that endpoint's wait it would still take less than 1/ratio of what
// the best one with room takes.
func holdBack(r *Request, best *Candidate, full []*Endpoint, ratio float64) bool {
	for _, e := range full {
		if e.waitFor(r)*ratio < best.Estimate.Total {
			return true
		}
	}
	return false
}

// waitFor estimates the seconds until an answer by an endpoint that is full now:
// until its next request ends, and then the ask's own time. Requests end evenly
// over twice the mean of what they have left.
func (e *Endpoint) waitFor(r *Request) float64 {
	speed := e.Speed()
	n := max(e.load.requests, 1)
	interval := speed.Interval.At(float64(n))
	left := float64(e.load.answerTokens) / float64(n)
	wait := 2 * left * interval / float64(n+1)
	cached := prefixTokens(r.Ask, e.prefixes.Depth(r.Ask.Blocks, 0))
	prompt := max(r.Ask.PromptTokens-cached, 0)
	return wait + speed.FirstToken.At(float64(prompt)) + float64(r.Ask.AnswerTokens)*interval
}

// full returns the healthy endpoints of the ask's pool that are not among the
// candidates.
func (rt *Router) full(r *Request, candidates []Candidate) []*Endpoint {
	rt.fullScratch = rt.fullScratch[:0]
	for _, e := range rt.endpoints {
		if e.fullFor(r, rt.options) && !offered(candidates, e) {
			rt.fullScratch = append(rt.fullScratch, e)
		}
	}
	return rt.fullScratch
}

// fullFor reports whether the endpoint is worth waiting for.
func (e *Endpoint) fullFor(r *Request, o Options) bool {
	return slices.Contains(e.pools, r.Ask.Pool) &&
		e.load.requests > 0 &&
		!e.load.leaving &&
		e.ejector.Health(r.Now) == HealthInService &&
		!e.straggler.IsStraggler(o.StragglerRatio) &&
		r.Now.Sub(e.seenAt) < o.ProbeTimeout
}

func offered(candidates []Candidate, e *Endpoint) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Learned == e })
}
