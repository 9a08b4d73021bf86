package endpointgate

import (
	"maps"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// State is what an endpoint has said and is in force, for the state dump.
type State struct {
	Endpoint domain.EndpointID `json:"endpoint"`
	// RestAskedMS is the rest that the endpoint asked for, RestAgeMS how long ago it did and RestEndsInMS the time until it
	// may be sent to; zero if there is none.
	RestAskedMS  int64 `json:"rest_asked_ms,omitempty"`
	RestAgeMS    int64 `json:"rest_age_ms,omitempty"`
	RestEndsInMS int64 `json:"rest_ends_in_ms,omitempty"`
	// LeavingMS is how long ago the endpoint first said that it is leaving, which ends only with the endpoint; absent if it
	// has not.
	LeavingMS *int64 `json:"leaving_ms,omitempty"`
}

// State returns what is in force, ordered by endpoint.
func (g *Gate) State() []State {
	now := g.config.Clock()
	byEndpoint := make(map[domain.EndpointID]State)
	for _, r := range *g.rests.Load() {
		if r.endsAt > now {
			byEndpoint[r.incarnation] = State{
				Endpoint: r.incarnation, RestAskedMS: r.asked.Milliseconds(), RestAgeMS: now.Sub(r.receivedAt).Milliseconds(),
				RestEndsInMS: r.endsAt.Sub(now).Milliseconds(),
			}
		}
	}
	for id, since := range g.config.Directory.Announced() {
		state := byEndpoint[id]
		age := now.Sub(since).Milliseconds()
		state.Endpoint, state.LeavingMS = id, &age
		byEndpoint[id] = state
	}
	states := make([]State, 0, len(byEndpoint))
	for _, id := range slices.Sorted(maps.Keys(byEndpoint)) {
		states = append(states, byEndpoint[id])
	}
	return states
}
