package config

import (
	"strings"
)

// validator checks a whole table and collects every problem.
type validator struct {
	table    *Table
	problems Problems
	tiers    map[string]int
	models   map[string]int
	services map[string]int
	// dataCentres are those of the endpoints.
	dataCentres map[string]int
	keys        map[[32]byte]string
}

// Validate returns every problem of the table, in the order of its rows.
func Validate(t *Table) Problems {
	v := &validator{
		table:       t,
		tiers:       make(map[string]int),
		models:      make(map[string]int),
		services:    make(map[string]int),
		dataCentres: make(map[string]int),
		keys:        make(map[[32]byte]string),
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

func (v *validator) row(kind Kind, index int, key string) rowCheck {
	return rowCheck{problems: &v.problems, kind: kind, row: index + 1, key: key}
}

func (v *validator) checkTiers() {
	ranks := make(map[int]string)
	for i, tier := range v.table.Tiers {
		c := v.row(KindTiers, i, tier.Name)
		c.name("name", tier.Name)
		c.unique("name", tier.Name, v.tiers)
		if other, ok := ranks[int(tier.Rank)]; ok {
			c.add("rank", tier.Rank, "is already the rank of %s", other)
		} else {
			ranks[int(tier.Rank)] = tier.Name
		}
		c.between("first_token_ms", tier.FirstTokenMillis, 0, maxMillis)
		c.between("deadline_ms", tier.DeadlineMillis, 1, maxMillis)
		if tier.FirstTokenMillis > tier.DeadlineMillis {
			c.add("first_token_ms", tier.FirstTokenMillis, "must not be more than deadline_ms")
		}
	}
}

func (v *validator) checkOrganisations() {
	seen := make(map[string]int)
	for i, organisation := range v.table.Organisations {
		c := v.row(KindOrganisations, i, string(organisation.ID))
		c.name("id", string(organisation.ID))
		c.unique("id", string(organisation.ID), seen)
		c.known("tier", organisation.Tier, "tier", v.tiers)
		c.between("weight", organisation.Weight, 1, maxCount)
		c.between("in_flight", organisation.InFlight, 0, maxCount)
		c.between("tokens_per_minute", organisation.TokensPerMinute, 0, maxCount)
		v.checkKeyHashes(c, organisation)
		// Before the first endpoint is entered nothing is known of data centres.
		if organisation.HomeDataCentre != "" && len(v.dataCentres) > 0 {
			c.known("home_data_centre", string(organisation.HomeDataCentre), "data centre among the endpoints", v.dataCentres)
		}
	}
}

func (v *validator) checkKeyHashes(c rowCheck, organisation OrganisationRow) {
	for _, field := range strings.Fields(organisation.KeyHashes) {
		hash, err := parseKeyHash(field)
		if err != nil {
			c.add("key_hashes", field, "must be a SHA-256 in 64 hexadecimal digits")
			continue
		}
		if owner, ok := v.keys[hash]; ok {
			c.add("key_hashes", field, "is already a key of %s", owner)
			continue
		}
		v.keys[hash] = string(organisation.ID)
	}
}

func (v *validator) checkModels() {
	for i, model := range v.table.Models {
		c := v.row(KindModels, i, model.Name)
		c.name("name", model.Name)
		c.unique("name", model.Name, v.models)
		c.between("max_prompt_tokens", model.MaxPromptTokens, 1, maxCount)
		c.between("max_answer_tokens", model.MaxAnswerTokens, 1, maxCount)
	}
}

func (v *validator) checkServices() {
	for i, service := range v.table.Services {
		c := v.row(KindServices, i, service.Name)
		c.name("name", service.Name)
		c.unique("name", service.Name, v.services)
		if strings.Contains(service.Name, "/") {
			c.add("name", service.Name, "must not hold a slash")
		}
		if _, err := ParseNonIdempotentRules(service.Once); err != nil {
			c.add("once", service.Once, "%s", err)
		}
		c.between("deadline_ms", service.DeadlineMillis, 1, maxMillis)
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
		c.between("weight", endpoint.Weight, 0, maxEndpointWeight)
		c.between("limit", endpoint.Limit, 1, maxCount)
		c.between("token_limit", endpoint.TokenLimit, 0, maxCount)
		if endpoint.Generation != "" {
			c.name("generation", endpoint.Generation)
		}
		v.checkServes(c, endpoint)
	}
}

func (v *validator) checkServes(c rowCheck, endpoint EndpointRow) {
	names := strings.Fields(endpoint.Serves)
	if len(names) == 0 {
		c.add("serves", endpoint.Serves, "must name at least one model or service")
	}
	switch endpoint.Kind {
	case KindEngine:
		v.checkServed(c, names, "model", v.models)
	case KindService:
		v.checkServed(c, names, "service", v.services)
	default:
		c.add("kind", endpoint.Kind, "must be %q or %q", KindEngine, KindService)
	}
}

func (v *validator) checkServed(c rowCheck, names []string, what string, rows map[string]int) {
	served := make(map[string]bool)
	for _, name := range names {
		c.known("serves", name, what, rows)
		if served[name] {
			c.add("serves", name, "is named twice")
		}
		served[name] = true
	}
}
