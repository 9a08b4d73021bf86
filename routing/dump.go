package routing

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// EndpointDump is the learned state of an endpoint, for diagnostics.
type EndpointDump struct {
	Endpoint   domain.EndpointID `json:"endpoint"`
	Generation string            `json:"generation"`
	Speed      Speed             `json:"speed"`
	Samples    int               `json:"samples"`
	// Ratio is the observed latency divided by that expected of the endpoint's hardware generation.
	Ratio     float64 `json:"ratio"`
	Straggler bool    `json:"straggler"`
	Health    string  `json:"health"`
	Failures  int     `json:"failures"`
	// CacheTrust is the fraction of predicted cached tokens that results confirm.
	CacheTrust   float64 `json:"cache_trust"`
	PrefixBlocks int     `json:"prefix_blocks"`
}

// State returns the learned state of the listed endpoints, sorted by endpoint ID.
func (rt *Router) State() []EndpointDump {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	state := make([]EndpointDump, 0, len(rt.endpoints))
	for _, e := range rt.endpoints {
		state = append(state, rt.dump(e))
	}
	slices.SortFunc(state, func(a, b EndpointDump) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return state
}

func (rt *Router) dump(e *Endpoint) EndpointDump {
	return EndpointDump{
		Endpoint:     e.id,
		Generation:   e.generationName,
		Speed:        *e.Speed(),
		Samples:      e.profile.Samples(),
		Ratio:        e.straggler.Ratio(),
		Straggler:    e.straggler.IsStraggler(rt.options.StragglerRatio),
		Health:       e.ejector.Health(e.lastSeen).String(),
		Failures:     e.ejector.failures,
		CacheTrust:   e.cacheTrust.Fraction(),
		PrefixBlocks: e.prefixes.Len(),
	}
}
