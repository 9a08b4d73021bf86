package routing

import "time"

// trackedGrant is a grant held at an endpoint, with the estimates from when it was placed.
type trackedGrant struct {
	fingerprint uint64
	placed      time.Time
	// work and batch are estimates; prompt and cached are in tokens.
	work   float64
	batch  float64
	prompt float64
	cached float64
	// probe is true if the request probes a straggler or a failed endpoint.
	probe   bool
	suspect bool
}

// uncached returns the number of prompt tokens expected to need prefill.
func (g *trackedGrant) uncached() float64 { return max(g.prompt-g.cached, 0) }
