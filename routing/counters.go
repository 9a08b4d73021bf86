package routing

import "github.com/VictoriaMetrics/metrics"

// counters are the routing metrics, shared by all Routers of a node.
type counters struct {
	decisions             *metrics.Counter
	heldBack              *metrics.Counter
	noCandidate           *metrics.Counter
	ejections             *metrics.Counter
	stragglerSamples      *metrics.Counter
	probes                *metrics.Counter
	quarantined           *metrics.Counter
	eventGaps             *metrics.Counter
	promptTokens          *metrics.Counter
	predictedCachedTokens *metrics.Counter
	reportedCachedTokens  *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter("hawthornrill_routing_" + name + "_total")
	}
	return counters{
		decisions:             counter("decisions"),
		heldBack:              counter("held_back"),
		noCandidate:           counter("no_candidate"),
		ejections:             counter("ejections"),
		stragglerSamples:      counter("straggler_samples"),
		probes:                counter("probes"),
		quarantined:           counter("quarantine_refusals"),
		eventGaps:             counter("cache_event_gaps"),
		promptTokens:          counter("prompt_tokens"),
		predictedCachedTokens: counter("cached_tokens_predicted"),
		reportedCachedTokens:  counter("cached_tokens_reported"),
	}
}
