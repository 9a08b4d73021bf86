package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/capacity"
)

// prefillProgress tracks when an endpoint was last seen to make progress with prefill.
type prefillProgress struct {
	prefillTokens int
	// lastAt is the last time at which the number of pending prompt tokens was seen to decrease or was
	// 0.
	lastAt time.Time
}

// update compares the endpoint's state with that of the previous call.
func (p *prefillProgress) update(now time.Time, state *capacity.EndpointState) {
	if state.PrefillTokens == 0 || state.PrefillTokens < p.prefillTokens || p.lastAt.IsZero() {
		p.lastAt = now
	}
	p.prefillTokens = state.PrefillTokens
}
