package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
)

const (
	// crashWindow is how long results may tell of the same crash.
	crashWindow = 3 * time.Second
	// forgetAfter is how long an endpoint that is not seen stays listed, and
	// forgetEvery how often that is looked at.
	forgetAfter = 10 * time.Minute
	forgetEvery = time.Minute
)

// Observe implements capacity.Chooser.
func (rt *Router) Observe(now time.Time, state *capacity.EndpointState, ask *capacity.Request, result capacity.Result) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.forget(now)
	e := rt.endpoint(now, state)
	f, known := e.take(ask.Fingerprint)
	if !known {
		f = rt.unknownFlight(now, state, ask)
	}
	switch {
	case result.Crashed:
		rt.crashed(now, e, f, ask, state.Requests == 0)
	case result.Unreachable:
		rt.fail(now, e, f)
	case result.Complete:
		rt.completed(now, e, f, ask, state, result)
	case result.Dispatched && result.FirstToken > 0:
		rt.learn(now, e, f, state, result)
		e.ejector.Succeed()
	default:
		e.ejector.Unprobe()
	}
	e.look(now, state)
}

// unknownFlight stands for a grant of which nothing was noted.
func (rt *Router) unknownFlight(now time.Time, state *capacity.EndpointState, ask *capacity.Request) flight {
	return flight{
		placed: now,
		work:   float64(ask.PromptTokens + rt.options.RequestTokens*state.Requests),
		batch:  float64(state.Requests + 1),
		prompt: float64(ask.PromptTokens),
	}
}

func (rt *Router) completed(now time.Time, e *Endpoint, f flight, ask *capacity.Request, state *capacity.EndpointState, result capacity.Result) {
	e.ejector.Succeed()
	rt.options.Quarantine.Completed(ask.Fingerprint)
	e.trust.Observe(f.cached, float64(result.CachedTokens))
	rt.counters.reported.Add(result.CachedTokens)
	rt.learn(now, e, f, state, result)
}

// learn takes a result as a sample of the endpoint's and its generation's speed.
// A straggler's own speed is not learned, and begins anew when it has recovered: the
// samples by which it was found out are in the old one.
func (rt *Router) learn(now time.Time, e *Endpoint, f flight, state *capacity.EndpointState, result capacity.Result) {
	s := sampleOf(f, state.Requests+1, result)
	wasSlow := e.straggler.Slow(rt.options.StragglerRatio)
	e.straggler.Observe(now, s.ratio(e.generation.Speed()), f.probe)
	slow := e.straggler.Slow(rt.options.StragglerRatio)
	if wasSlow && !slow {
		e.unlearn()
	}
	if slow {
		rt.counters.stragglers.Inc()
	} else {
		e.learn(s, rt.options.LearnRate)
	}
	e.generation.Learn(s, rt.options.LearnRate/2, slow, rt.mostSlow(e.generation))
}

// sampleOf corrects the noted work by what the endpoint reported of the cache.
func sampleOf(f flight, requests int, result capacity.Result) Sample {
	first := result.FirstToken
	if first <= 0 {
		first = result.Total
	}
	work := f.work
	if result.PromptTokens > 0 {
		work += float64(result.PromptTokens-result.CachedTokens) - f.uncached()
	}
	return Sample{
		Work:   max(work, 0),
		First:  first.Seconds(),
		Batch:  (f.batch + float64(requests)) / 2,
		Tokens: max(result.AnswerTokens-1, 0),
		Rest:   max(result.Total-first, 0).Seconds(),
	}
}

// mostSlow reports whether more than half of the generation's endpoints are
// stragglers.
func (rt *Router) mostSlow(g *Generation) bool {
	all, slow := 0, 0
	for _, e := range rt.endpoints {
		if e.generation != g {
			continue
		}
		all++
		if e.straggler.Slow(rt.options.StragglerRatio) {
			slow++
		}
	}
	return 2*slow > all
}

// fail ejects the endpoint that could not be reached.
func (rt *Router) fail(now time.Time, e *Endpoint, f flight) {
	rt.eject(now, e, f, now.Add(rt.options.EjectFirst))
}

// crashed blames the content, and ejects the endpoint. Its cache is gone.
func (rt *Router) crashed(now time.Time, e *Endpoint, f flight, ask *capacity.Request, last bool) {
	if now.Sub(e.crash.at) > crashWindow {
		e.crash = crashEvent{at: now, alone: last}
		e.prefixes.Clear()
	} else {
		e.crash.alone = false
	}
	rt.options.Quarantine.Crashed(e.id, ask.Fingerprint, e.crash.alone)
	rt.eject(now, e, f, now)
}

// eject takes the endpoint out of service. If much of the pool group already is,
// the cause more likely lies elsewhere, in a content or in this node's network:
// the endpoint is then tried by single requests from the given instant on.
func (rt *Router) eject(now time.Time, e *Endpoint, f flight, retry time.Time) {
	if !e.ejector.Fail(now, f.placed, rt.options.EjectFirst, rt.options.EjectMost) {
		return
	}
	rt.counters.ejections.Inc()
	if rt.ejectedPart(now) > rt.options.EjectPart {
		e.ejector.Shorten(retry)
	}
}

// ejectedPart returns the part of the endpoints that are out of service.
func (rt *Router) ejectedPart(now time.Time) float64 {
	ejected := 0
	for _, e := range rt.endpoints {
		if e.ejector.Health(now) == HealthEjected {
			ejected++
		}
	}
	return float64(ejected) / float64(max(len(rt.endpoints), 1))
}

// forget drops endpoints that have not been seen for long from the list.
func (rt *Router) forget(now time.Time) {
	if now.Sub(rt.forgotAt) < forgetEvery {
		return
	}
	rt.forgotAt = now
	for id, e := range rt.endpoints {
		if now.Sub(e.seenAt) > forgetAfter {
			rt.unlist(id, e)
		}
	}
}

func (rt *Router) unlist(id domain.EndpointID, e *Endpoint) {
	e.listed = false
	delete(rt.endpoints, id)
}

// Report implements capacity.ReportReceiver.
func (rt *Router) Report(now time.Time, state *capacity.EndpointState, report endpoint.LoadReport) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	e.report = loadReport{Requests: report.Running + report.Waiting, At: now.Add(-report.Age)}
	if report.KVTokens > 0 {
		e.prefixes.SetBound(min(rt.options.PrefixBlocks, report.KVTokens/prefix.BlockTokens))
	}
}

// CacheEvents implements capacity.ReportReceiver. Events told twice are ignored; a
// sequence that begins anew tells that the endpoint has lost its cache.
func (rt *Router) CacheEvents(now time.Time, state *capacity.EndpointState, events []endpoint.CacheEvent) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	for _, event := range events {
		rt.cacheEvent(now, e, event)
	}
}

func (rt *Router) cacheEvent(now time.Time, e *Endpoint, event endpoint.CacheEvent) {
	switch {
	case event.Sequence < e.eventSequence/2:
		e.prefixes.Clear()
	case event.Sequence <= e.eventSequence:
		return
	}
	if event.Sequence > e.eventSequence+1 && e.eventSequence > 0 {
		rt.counters.eventGaps.Inc()
	}
	e.eventSequence = event.Sequence
	if event.Stored {
		e.prefixes.Stored(event.Block)
		return
	}
	e.prefixes.Evicted(now, event.Block, rt.options.EvictionLag)
}
