package routing

import "slices"

// fasterAfterWait reports whether waiting for an endpoint without free capacity is preferable: its
// estimated time, including the wait, must be less than 1/ratio of the time on the best candidate with
// free capacity.
func fasterAfterWait(r *Request, best *Candidate, full []*Endpoint, ratio float64) bool {
	for _, e := range full {
		if e.estimateAfterWait(r)*ratio < best.Estimate.Total {
			return true
		}
	}
	return false
}

// estimateAfterWait returns the estimated seconds to completion on an endpoint that is currently full:
// the time until one of its requests ends, plus the request's own time. Requests are assumed to end at
// a uniform rate over twice their mean remaining time.
func (e *Endpoint) estimateAfterWait(r *Request) float64 {
	speed := e.Speed()
	n := max(e.lastLoad.requests, 1)
	interval := speed.Interval.At(float64(n))
	remaining := float64(e.lastLoad.answerTokens) / float64(n)
	wait := 2 * remaining * interval / float64(n+1)
	cached := prefixTokens(r.Request, e.prefixes.Depth(r.Request.Blocks, 0))
	prompt := max(r.Request.PromptTokens-cached, 0)
	return wait + speed.FirstToken.At(float64(prompt)) + float64(r.Request.AnswerTokens)*interval
}

// fullEndpoints returns the healthy endpoints of the request's pool that are not among the candidates.
func (rt *Router) fullEndpoints(r *Request, candidates []Candidate) []*Endpoint {
	rt.fullScratch = rt.fullScratch[:0]
	for _, e := range rt.endpoints {
		if e.worthWaitingFor(r, rt.options) && !containsEndpoint(candidates, e) {
			rt.fullScratch = append(rt.fullScratch, e)
		}
	}
	return rt.fullScratch
}

// worthWaitingFor reports whether the endpoint serves the request's pool, was seen recently, and is
// busy but healthy.
func (e *Endpoint) worthWaitingFor(r *Request, o Options) bool {
	return slices.Contains(e.pools, r.Request.Pool) &&
		e.lastLoad.requests > 0 &&
		!e.lastLoad.leaving &&
		e.ejector.Health(r.Now) == HealthInService &&
		!e.straggler.IsStraggler(o.StragglerRatio) &&
		r.Now.Sub(e.lastSeen) < o.ProbeTimeout
}

func containsEndpoint(candidates []Candidate, e *Endpoint) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Learned == e })
}
