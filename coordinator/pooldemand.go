package coordinator

import (
	"strings"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// PoolDemand derives the demand from the accounts of a capacity.Service.
type PoolDemand struct {
	// Dump returns the accounts, as capacity.Service.Dump does.
	Dump func() capacity.Dump
}

var _ DemandSource = PoolDemand{}

// Demand implements DemandSource. A group accounts for tokens by endpoint; they are
// divided among its pools in proportion to their running requests.
func (d PoolDemand) Demand() map[string]ModelDemand {
	demand := make(map[string]ModelDemand)
	for _, group := range d.Dump().Owned {
		if group.Settled {
			addGroupDemand(demand, group)
		}
	}
	return demand
}

func addGroupDemand(demand map[string]ModelDemand, group capacity.GroupDump) {
	tokens, running := 0, 0
	for _, e := range group.Endpoints {
		tokens += e.ReservedTokens
		running += e.Requests
	}
	for _, pool := range group.Pools {
		if model, ok := modelOfPool(pool); ok {
			demand[model] = ModelDemand{}
		}
	}
	for _, h := range group.Holders {
		model, ok := modelOfPool(h.Pool)
		if !ok {
			continue
		}
		d := demand[model]
		d.Waiting += h.Waiting
		d.Running += h.Grants
		d.Tokens += tokens * h.Grants / max(running, 1)
		demand[model] = d
	}
}

// modelOfPool returns the model of a pool of engines.
func modelOfPool(pool domain.PoolName) (string, bool) {
	return strings.CutPrefix(string(pool), string(domain.ModelPool("")))
}
