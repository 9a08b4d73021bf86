package routing

import "github.com/VictoriaMetrics/metrics"

// counters are shared by all Routers of a node.
type counters struct {
	decisions   *metrics.Counter
	held        *metrics.Counter
	filtered    *metrics.Counter
	ejections   *metrics.Counter
	stragglers  *metrics.Counter
	probes      *metrics.Counter
	quarantined *metrics.Counter
	eventGaps   *metrics.Counter
	prompt      *metrics.Counter
	predicted   *metrics.Counter
	reported    *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter("hawthornrill_routing_" + name + "_total")
	}
	return counters{
		decisions:   counter("decisions"),
		held:        counter("held_back"),
		filtered:    counter("no_candidate"),
		ejections:   counter("ejections"),
		stragglers:  counter("straggler_samples"),
		probes:      counter("probes"),
		quarantined: counter("quarantine_refusals"),
		eventGaps:   counter("cache_event_gaps"),
		prompt:      counter("prompt_tokens"),
		predicted:   counter("cached_tokens_predicted"),
		reported:    counter("cached_tokens_reported"),
	}
}
