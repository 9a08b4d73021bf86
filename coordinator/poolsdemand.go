package coordinator

import (
	"strings"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// PoolDemand reads the demand from what a capacity.Service accounts for.
type PoolDemand struct {
	// Dump returns the account, as capacity.Service.Dump does.
	Dump func() capacity.Dump
}

var _ DemandSource = PoolDemand{}

// DemandSource implements Demand. A group accounts for tokens by endpoint; they are
// shared out over its pools by their requests.
func (d PoolDemand) Demand() map[string]ModelDemand {
	loads := make(map[string]ModelDemand)
	for _, group := range d.Dump().Owned {
		if group.Settled {
			addGroup(loads, group)
		}
	}
	return loads
}

func addGroup(loads map[string]ModelDemand, group capacity.GroupDump) {
	tokens, running := 0, 0
	for _, e := range group.Endpoints {
		tokens += e.ReservedTokens
		running += e.Requests
	}
	for _, pool := range group.Pools {
		if model, ok := modelOf(pool); ok {
			loads[model] = ModelDemand{}
		}
	}
	for _, h := range group.Holders {
		model, ok := modelOf(h.Pool)
		if !ok {
			continue
		}
		l := loads[model]
		l.Waiting += h.Waiting
		l.Running += h.Grants
		l.Tokens += tokens * h.Grants / max(running, 1)
		loads[model] = l
	}
}

// modelOf returns the model of a pool of engines.
func modelOf(pool domain.PoolName) (string, bool) {
	return strings.CutPrefix(string(pool), string(domain.ModelPool("")))
}
