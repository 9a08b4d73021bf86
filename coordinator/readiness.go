package coordinator

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Readiness tells which engines have a model ready, as far as they have been read
// lately. It is fed by whoever reads them: the owner of an endpoint's pool.
type Readiness struct {
	ttl time.Duration

	mu     sync.RWMutex
	states map[domain.EndpointID]readState
}

type readState struct {
	ready map[string]struct{}
	at    time.Time
}

// NewReadiness returns one that forgets what was read longer ago than ttl.
func NewReadiness(ttl time.Duration) *Readiness {
	return &Readiness{ttl: ttl, states: make(map[domain.EndpointID]readState)}
}

// Note records what an engine said. An engine that names no model and has obeyed
// no order says nothing of what it serves.
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
	r.states[id] = readState{ready: ready, at: now}
}

// Ready reports whether the endpoint has the model ready. If known is false, the
// endpoint is to be used as if it had.
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
