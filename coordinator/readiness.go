package coordinator

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Readiness records which engines have a model ready, by their recent state reads.
// The reader of an engine, the owner of the pool of the endpoint, records the
// states.
type Readiness struct {
	ttl time.Duration

	mu     sync.RWMutex
	states map[domain.EndpointID]engineReadiness
}

type engineReadiness struct {
	ready map[string]struct{}
	at    time.Time
}

// NewReadiness returns a Readiness whose entries expire after ttl.
func NewReadiness(ttl time.Duration) *Readiness {
	return &Readiness{ttl: ttl, states: make(map[domain.EndpointID]engineReadiness)}
}

// Record stores the state reported by an engine. An engine that reports no model
// and has accepted no order may serve any model, so its readiness is unknown.
func (r *Readiness) Record(now time.Time, id domain.EndpointID, state endpoint.EngineState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(state.Models) == 0 && state.Fence == 0 {
		delete(r.states, id)
		return
	}
	ready := make(map[string]struct{}, len(state.Models))
	for _, m := range state.Models {
		if m.Ready {
			ready[m.Model] = struct{}{}
		}
	}
	r.states[id] = engineReadiness{ready: ready, at: now}
}

// Ready reports whether the endpoint has the model ready. If known is false,
// callers should use the endpoint as if it were ready.
func (r *Readiness) Ready(now time.Time, id domain.EndpointID, model string) (ready, known bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.states[id]
	if !ok || now.Sub(s.at) > r.ttl {
		return false, false
	}
	_, ready = s.ready[model]
	return ready, true
}
