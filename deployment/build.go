package deployment

import (
	"fmt"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

const (
	// engineSlots and engineTokenLimit load an engine to just below saturation.
	engineSlots      = 32
	engineTokenLimit = 60_000
	serviceSlots     = 64
	fullWeight       = 100
	// GenerationA is the faster hardware generation, GenerationB the slower one.
	GenerationA = "gen-a"
	GenerationB = "gen-b"
)

// hosts returns the hosts of all data centres, numbered from 1 in each of them.
func hosts(counts []dataCentreSize) []Host {
	var all []Host
	for _, c := range counts {
		for i := 1; i <= c.hosts; i++ {
			node := domain.NodeID(fmt.Sprintf("%s-%d", c.name, i))
			all = append(all, Host{Node: node, DataCentre: c.name})
		}
	}
	return all
}

// dataCentreSize is the number of hosts, engines and services in a data centre.
type dataCentreSize struct {
	name                     domain.DataCentre
	hosts, engines, services int
}

// endpoints returns the engines and services of all data centres. The engines of a
// data centre alternate between the two hardware generations.
func endpoints(counts []dataCentreSize, model, service string) []config.EndpointRow {
	var rows []config.EndpointRow
	for _, c := range counts {
		for i := 1; i <= c.engines; i++ {
			rows = append(rows, engineRow(c.name, i, model))
		}
		for i := 1; i <= c.services; i++ {
			rows = append(rows, serviceRow(c.name, i, service))
		}
	}
	return rows
}

func engineRow(dc domain.DataCentre, number int, model string) config.EndpointRow {
	generation := GenerationA
	if number%2 == 0 {
		generation = GenerationB
	}
	return config.EndpointRow{
		ID:            domain.EndpointID(fmt.Sprintf("%s-engine-%d", dc, number)),
		Kind:          config.KindEngine,
		DataCentre:    dc,
		Serves:        model,
		Generation:    generation,
		Weight:        fullWeight,
		Limit:         engineSlots,
		TokenLimit:    engineTokenLimit,
		ChecksFencing: number%2 == 1,
	}
}

func serviceRow(dc domain.DataCentre, number int, service string) config.EndpointRow {
	return config.EndpointRow{
		ID:         domain.EndpointID(fmt.Sprintf("%s-%s-%d", dc, service, number)),
		Kind:       config.KindService,
		DataCentre: dc,
		Serves:     service,
		Generation: GenerationA,
		Weight:     fullWeight,
		Limit:      serviceSlots,
	}
}

// assignDemoKeys sets the hash of the demonstration key in each row and returns the
// keys by organisation.
func assignDemoKeys(rows []config.OrganisationRow) map[domain.OrganisationID]string {
	keys := make(map[domain.OrganisationID]string, len(rows))
	for i := range rows {
		key := DemoKey(rows[i].ID)
		keys[rows[i].ID] = key
		rows[i].KeyHashes = KeyHash(key)
	}
	return keys
}
