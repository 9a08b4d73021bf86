package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
)

// progress notes when an endpoint was last seen to compute prompts.
type progress struct {
	prefill int
	// At is the last instant at which the prompts held were seen to become fewer,
	// or were none.
	At time.Time
}

// look compares the endpoint's state with the last look.
func (p *progress) look(now time.Time, state *capacity.EndpointState) {
	if state.PrefillTokens == 0 || state.PrefillTokens < p.prefill || p.At.IsZero() {
		p.At = now
	}
	p.prefill = state.PrefillTokens
}
