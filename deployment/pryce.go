package deployment

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
)

// Pryce returns the deployment of Pryce & Daughters: four data centres in South
// Wales, a model that writes recaps and hints, and a game service.
func Pryce() *Deployment {
	const (
		model   = "hunt"
		service = "game"
	)
	dataCentres := []dataCentreSize{
		{name: "taf", hosts: 2, engines: 3, services: 1},
		{name: "usk", hosts: 2, engines: 3, services: 1},
		{name: "tawe", hosts: 2, engines: 3, services: 1},
		{name: "wysg", hosts: 1, engines: 3, services: 1},
	}
	organisations := []config.OrganisationRow{
		{ID: "hints", Tier: "live", Weight: 50, InFlight: 150, TokensPerMinute: 600_000},
		{ID: "answer-checks", Tier: "live", Weight: 30, InFlight: 150, TokensPerMinute: 300_000},
		{ID: "schools", Tier: "team", Weight: 20, InFlight: 100, TokensPerMinute: 400_000},
		{ID: "companies", Tier: "team", Weight: 20, InFlight: 100, TokensPerMinute: 400_000},
		{ID: "recaps", Tier: "after", Weight: 30, InFlight: 60, TokensPerMinute: 600_000},
	}
	keys := assignDemoKeys(organisations)
	return &Deployment{
		Name:  "pryce",
		Hosts: hosts(dataCentres),
		Table: config.Table{
			Tiers: []config.TierRow{
				{Name: "live", Rank: 0, FirstTokenMillis: 800, DeadlineMillis: 30_000},
				{Name: "team", Rank: 1, FirstTokenMillis: 2_000, DeadlineMillis: 60_000},
				{Name: "after", Rank: 2, DeadlineMillis: 300_000},
			},
			Organisations: organisations,
			Models:        []config.ModelRow{{Name: model, MaxPromptTokens: 16_000, MaxAnswerTokens: 6_000}},
			Services:      []config.ServiceRow{{Name: service, Once: "POST /unlocks, POST /scores", DeadlineMillis: 5_000}},
			Endpoints:     endpoints(dataCentres, model, service),
		},
		Keys:              keys,
		OneWayDelay:       500 * time.Microsecond,
		ClientOneWayDelay: time.Millisecond,
		Model:             model,
		Service:           service,
		NonIdempotentPath: "/unlocks",
		NonIdempotentBody: `{"team":"otters","clue":"bridge"}`,
	}
}
