package deployment

import (
	"fmt"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

const (
	// engineSlots and engineTokens keep an engine just below saturation.
	engineSlots  = 32
	engineTokens = 60_000
	serviceSlots = 64
	fullWeight   = 100
	// GenerationA is the faster kind of hardware, GenerationB the slower.
	GenerationA = "gen-a"
	GenerationB = "gen-b"
)

// hosts numbers the hosts of each data centre from 1.
func hosts(counts []dataCentreCount) []Host {
	var all []Host
	for _, c := range counts {
		for i := 1; i <= c.hosts; i++ {
			node := domain.NodeID(fmt.Sprintf("%s-%d", c.name, i))
			all = append(all, Host{Node: node, DataCentre: c.name})
		}
	}
	return all
}

// dataCentreCount tells what stands in a data centre.
type dataCentreCount struct {
	name                     domain.DataCentre
	hosts, engines, services int
}

// endpoints makes the engines and services of all data centres; engines are of
// the two generations in turn.
func endpoints(counts []dataCentreCount, model, service string) []config.EndpointRow {
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
		TokenLimit:    engineTokens,
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

// withKeys sets the demonstration key's hash in each row and returns the keys.
func withKeys(rows []config.OrganisationRow) map[domain.OrganisationID]string {
	keys := make(map[domain.OrganisationID]string, len(rows))
	for i := range rows {
		key := DemoKey(rows[i].ID)
		keys[rows[i].ID] = key
		rows[i].KeyHashes = KeyHash(key)
	}
	return keys
}
