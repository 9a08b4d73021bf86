package config

import (
	"strings"
)

// validator validates a table and collects the problems.
type validator struct {
	table    *Table
	problems Problems
	tiers    map[string]int
	models   map[string]int
	services map[string]int
	// endpointDataCentres are those of the endpoints.
	dataCentres map[string]int
	keyOwners   map[[32]byte]string
}

// Validate returns all problems of the table in row order.
func Validate(t *Table) Problems {
	v := &validator{
		table:       t,
		tiers:       make(map[string]int),
		models:      make(map[string]int),
		services:    make(map[string]int),
		dataCentres: make(map[string]int),
		keyOwners:   make(map[[32]byte]string),
	}
	for i, endpoint := range t.Endpoints {
		v.dataCentres[string(endpoint.DataCentre)] = i + 1
	}
	v.checkTiers()
	v.checkOrganisations()
	v.checkModels()
	v.checkServices()
	v.checkEndpoints()
	return v.problems
}

func (v *validator) row(kind Kind, index int, key string) rowChecker {
	return rowChecker{problems: &v.problems, kind: kind, row: index + 1, key: key}
}

func (v *validator) checkTiers() {
	ranks := make(map[int]string)
	for i, tier := range v.table.Tiers {
		c := v.row(KindTiers, i, tier.Name)
		c.name("name", tier.Name)
		c.unique("name", tier.Name, v.tiers)
		if other, ok := ranks[int(tier.Rank)]; ok {
			c.add("rank", tier.Rank, "is already used by tier %s", other)
		} else {
			ranks[int(tier.Rank)] = tier.Name
		}
		c.inRange("first_token_ms", tier.FirstTokenMillis, 0, maxMillis)
		c.inRange("deadline_ms", tier.DeadlineMillis, 1, maxMillis)
		if tier.FirstTokenMillis > tier.DeadlineMillis {
			c.add("first_token_ms", tier.FirstTokenMillis, "must not exceed deadline_ms")
		}
	}
}

func (v *validator) checkOrganisations() {
	seen := make(map[string]int)
	for i, organisation := range v.table.Organisations {
		c := v.row(KindOrganisations, i, string(organisation.ID))
		c.name("id", string(organisation.ID))
		c.unique("id", string(organisation.ID), seen)
		c.references("tier", organisation.Tier, "tier", v.tiers)
		c.inRange("weight", organisation.Weight, 1, maxCount)
		c.inRange("in_flight", organisation.InFlight, 0, maxCount)
		c.inRange("tokens_per_minute", organisation.TokensPerMinute, 0, maxCount)
		v.checkKeyHashes(c, organisation)
		// The data centres are unknown until the table has an endpoint.
		if organisation.HomeDataCentre != "" && len(v.dataCentres) > 0 {
			c.references("home_data_centre", string(organisation.HomeDataCentre), "data centre: it has no endpoints", v.dataCentres)
		}
	}
}

func (v *validator) checkKeyHashes(c rowChecker, organisation OrganisationRow) {
	for _, field := range strings.Fields(organisation.KeyHashes) {
		hash, err := parseKeyHash(field)
		if err != nil {
			c.add("key_hashes", field, "must be a SHA-256 hash of 64 hexadecimal digits")
			continue
		}
		if owner, ok := v.keyOwners[hash]; ok {
			c.add("key_hashes", field, "is already a key of organisation %s", owner)
			continue
		}
		v.keyOwners[hash] = string(organisation.ID)
	}
}

func (v *validator) checkModels() {
	for i, model := range v.table.Models {
		c := v.row(KindModels, i, model.Name)
		c.name("name", model.Name)
		c.unique("name", model.Name, v.models)
		c.inRange("max_prompt_tokens", model.MaxPromptTokens, 1, maxCount)
		c.inRange("max_answer_tokens", model.MaxAnswerTokens, 1, maxCount)
	}
}

func (v *validator) checkServices() {
	for i, service := range v.table.Services {
		c := v.row(KindServices, i, service.Name)
		c.name("name", service.Name)
		c.unique("name", service.Name, v.services)
		if strings.Contains(service.Name, "/") {
			c.add("name", service.Name, "must not contain a slash")
		}
		if _, err := ParseNonIdempotentRules(service.Once); err != nil {
			c.add("once", service.Once, "%s", err)
		}
		c.inRange("deadline_ms", service.DeadlineMillis, 1, maxMillis)
	}
}

func (v *validator) checkEndpoints() {
	seen := make(map[string]int)
	addresses := make(map[string]int)
	for i, endpoint := range v.table.Endpoints {
		c := v.row(KindEndpoints, i, string(endpoint.ID))
		c.name("id", string(endpoint.ID))
		c.unique("id", string(endpoint.ID), seen)
		c.name("data_centre", string(endpoint.DataCentre))
		c.address("address", endpoint.Address)
		c.unique("address", endpoint.Address, addresses)
		c.inRange("weight", endpoint.Weight, 0, maxEndpointWeight)
		c.inRange("limit", endpoint.Limit, 1, maxCount)
		c.inRange("token_limit", endpoint.TokenLimit, 0, maxCount)
		if endpoint.Generation != "" {
			c.name("generation", endpoint.Generation)
		}
		v.checkServes(c, endpoint)
	}
}

func (v *validator) checkServes(c rowChecker, endpoint EndpointRow) {
	names := strings.Fields(endpoint.Serves)
	if len(names) == 0 {
		c.add("serves", endpoint.Serves, "must name at least one model or service")
	}
	switch endpoint.Kind {
	case KindEngine:
		v.checkServedNames(c, names, "model", v.models)
	case KindService:
		v.checkServedNames(c, names, "service", v.services)
	default:
		c.add("kind", endpoint.Kind, "must be %q or %q", KindEngine, KindService)
	}
}

func (v *validator) checkServedNames(c rowChecker, names []string, kind string, rows map[string]int) {
	served := make(map[string]bool)
	for _, name := range names {
		c.references("serves", name, kind, rows)
		if served[name] {
			c.add("serves", name, "is listed twice")
		}
		served[name] = true
	}
}
