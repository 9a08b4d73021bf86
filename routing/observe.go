package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
)

const (
	// crashWindow is the time within which failed requests are attributed to the same crash.
	crashWindow = 3 * time.Second
	// endpointRetention is how long an endpoint stays listed after it was last seen; pruneInterval is
	// how often expired ones are removed.
	endpointRetention = 10 * time.Minute
	pruneInterval     = time.Minute
)

// Observe implements capacity.Chooser.
func (rt *Router) Observe(now time.Time, state *capacity.EndpointState, request *capacity.Request, result capacity.Result) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.pruneEndpoints(now)
	e := rt.endpoint(now, state)
	grant, known := e.removeGrant(request.Fingerprint)
	if !known {
		grant = rt.untrackedGrant(now, state, request)
	}
	switch {
	case result.Crashed:
		rt.handleCrash(now, e, grant, request, state.Requests == 0)
	case result.Unreachable:
		rt.handleUnreachable(now, e, grant)
	case result.Complete:
		rt.handleCompleted(now, e, grant, request, state, result)
	case result.Dispatched && result.FirstToken > 0:
		rt.learnSpeed(now, e, grant, state, result)
		e.ejector.RecordSuccess()
	default:
		e.ejector.EndProbe()
	}
	e.updateState(now, state)
}

// untrackedGrant returns an approximation of a grant that was not tracked.
func (rt *Router) untrackedGrant(now time.Time, state *capacity.EndpointState, request *capacity.Request) trackedGrant {
	return trackedGrant{
		placed: now,
		work:   float64(request.PromptTokens + rt.options.RequestOverheadTokens*state.Requests),
		batch:  float64(state.Requests + 1),
		prompt: float64(request.PromptTokens),
	}
}

func (rt *Router) handleCompleted(now time.Time, e *Endpoint, grant trackedGrant, request *capacity.Request, state *capacity.EndpointState, result capacity.Result) {
	e.ejector.RecordSuccess()
	rt.options.Quarantine.Completed(request.Fingerprint)
	e.cacheTrust.Observe(grant.cached, float64(result.CachedTokens))
	rt.counters.reportedCachedTokens.Add(result.CachedTokens)
	rt.learnSpeed(now, e, grant, state, result)
}

// learnSpeed adds a result to the speed models of the endpoint and its generation. A straggler's own
// speed is not updated, and is reset when it recovers, because it still contains the slow samples from
// before the detection.
func (rt *Router) learnSpeed(now time.Time, e *Endpoint, grant trackedGrant, state *capacity.EndpointState, result capacity.Result) {
	s := newSample(grant, state.Requests+1, result)
	wasSlow := e.straggler.IsStraggler(rt.options.StragglerRatio)
	e.straggler.Observe(now, s.ratio(e.generation.Speed()), grant.probe)
	slow := e.straggler.IsStraggler(rt.options.StragglerRatio)
	if wasSlow && !slow {
		e.resetSpeed()
	}
	if slow {
		rt.counters.stragglerSamples.Inc()
	} else {
		e.learnSample(s, rt.options.LearnRate)
	}
	e.generation.Learn(s, rt.options.LearnRate/2, slow, rt.mostAreStragglers(e.generation))
}

// newSample returns a sample whose estimated work is corrected by the cached tokens that the endpoint
// reported.
func newSample(grant trackedGrant, requests int, result capacity.Result) Sample {
	first := result.FirstToken
	if first <= 0 {
		first = result.Total
	}
	work := grant.work
	if result.PromptTokens > 0 {
		work += float64(result.PromptTokens-result.CachedTokens) - grant.uncached()
	}
	return Sample{
		Work:          max(work, 0),
		FirstToken:    first.Seconds(),
		Batch:         (grant.batch + float64(requests)) / 2,
		DecodeTokens:  max(result.AnswerTokens-1, 0),
		DecodeSeconds: max(result.Total-first, 0).Seconds(),
	}
}

// mostAreStragglers reports whether more than half of the generation's endpoints are stragglers.
func (rt *Router) mostAreStragglers(g *Generation) bool {
	all, slow := 0, 0
	for _, e := range rt.endpoints {
		if e.generation != g {
			continue
		}
		all++
		if e.straggler.IsStraggler(rt.options.StragglerRatio) {
			slow++
		}
	}
	return 2*slow > all
}

// handleUnreachable ejects an endpoint that could not be reached.
func (rt *Router) handleUnreachable(now time.Time, e *Endpoint, grant trackedGrant) {
	rt.eject(now, e, grant, now.Add(rt.options.InitialEjection))
}

// handleCrash records the request's content with the quarantine, clears the prefix table since the
// cache is lost, and ejects the endpoint.
func (rt *Router) handleCrash(now time.Time, e *Endpoint, grant trackedGrant, request *capacity.Request, alone bool) {
	if now.Sub(e.crash.at) > crashWindow {
		e.crash = crashEvent{at: now, alone: alone}
		e.prefixes.Clear()
	} else {
		e.crash.alone = false
	}
	rt.options.Quarantine.Crashed(e.id, request.Fingerprint, e.crash.alone)
	rt.eject(now, e, grant, now)
}

// eject takes the endpoint out of service. If a large fraction of the pool group is already ejected,
// the cause is more likely a particular content or this node's network: the endpoint is then probed by
// single requests from retry on.
func (rt *Router) eject(now time.Time, e *Endpoint, grant trackedGrant, retry time.Time) {
	if !e.ejector.RecordFailure(now, grant.placed, rt.options.InitialEjection, rt.options.MaxEjection) {
		return
	}
	rt.counters.ejections.Inc()
	if rt.ejectedFraction(now) > rt.options.MaxEjectedFraction {
		e.ejector.Shorten(retry)
	}
}

// ejectedFraction returns the fraction of the listed endpoints that are ejected.
func (rt *Router) ejectedFraction(now time.Time) float64 {
	ejected := 0
	for _, e := range rt.endpoints {
		if e.ejector.Health(now) == HealthEjected {
			ejected++
		}
	}
	return float64(ejected) / float64(max(len(rt.endpoints), 1))
}

// pruneEndpoints removes endpoints that have not been seen within endpointRetention.
func (rt *Router) pruneEndpoints(now time.Time) {
	if now.Sub(rt.prunedAt) < pruneInterval {
		return
	}
	rt.prunedAt = now
	for id, e := range rt.endpoints {
		if now.Sub(e.lastSeen) > endpointRetention {
			rt.removeEndpoint(id, e)
		}
	}
}

func (rt *Router) removeEndpoint(id domain.EndpointID, e *Endpoint) {
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

// CacheEvents implements capacity.ReportReceiver. Duplicate events are ignored. A sequence that restarts
// means that the endpoint has lost its cache.
func (rt *Router) CacheEvents(now time.Time, state *capacity.EndpointState, events []endpoint.CacheEvent) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	e := rt.endpoint(now, state)
	for _, event := range events {
		rt.applyCacheEvent(now, e, event)
	}
}

func (rt *Router) applyCacheEvent(now time.Time, e *Endpoint, event endpoint.CacheEvent) {
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
