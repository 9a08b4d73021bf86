package deployment

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
)

// Cucine returns the deployment of Cucine Quotate Trinacria: three data centres in
// Sicily, a model that drafts kitchen quotes, and a service for the catalogue and
// jobs.
func Cucine() *Deployment {
	const (
		model   = "quote"
		service = "catalogue"
	)
	dataCentres := []dataCentreSize{
		{name: "palermo", hosts: 3, engines: 4, services: 1},
		{name: "catania", hosts: 2, engines: 4, services: 1},
		{name: "siracusa", hosts: 2, engines: 4, services: 1},
	}
	organisations := []config.OrganisationRow{
		{ID: "showrooms", Tier: "showroom", Weight: 40, InFlight: 120, TokensPerMinute: 600_000},
		{ID: "fitters-west", Tier: "van", Weight: 30, InFlight: 120, TokensPerMinute: 600_000},
		{ID: "fitters-east", Tier: "van", Weight: 30, InFlight: 120, TokensPerMinute: 600_000},
		{ID: "drafts", Tier: "batch", Weight: 20, InFlight: 60, TokensPerMinute: 300_000},
		{ID: "training", Tier: "batch", Weight: 5, InFlight: 20, TokensPerMinute: 100_000},
	}
	keys := assignDemoKeys(organisations)
	return &Deployment{
		Name:  "cucine",
		Hosts: hosts(dataCentres),
		Table: config.Table{
			Tiers: []config.TierRow{
				{Name: "showroom", Rank: 0, FirstTokenMillis: 1_000, DeadlineMillis: 60_000},
				{Name: "van", Rank: 1, FirstTokenMillis: 2_000, DeadlineMillis: 90_000},
				{Name: "batch", Rank: 2, DeadlineMillis: 300_000},
			},
			Organisations: organisations,
			Models:        []config.ModelRow{{Name: model, MaxPromptTokens: 16_000, MaxAnswerTokens: 4_000}},
			Services:      []config.ServiceRow{{Name: service, Once: "POST, PUT, PATCH", DeadlineMillis: 10_000}},
			Endpoints:     endpoints(dataCentres, model, service),
		},
		Keys:              keys,
		OneWayDelay:       1500 * time.Microsecond,
		ClientOneWayDelay: 3 * time.Millisecond,
		Model:             model,
		Service:           service,
		NonIdempotentPath: "/quotes",
		NonIdempotentBody: "oak worktop, 2.4 m",
	}
}
