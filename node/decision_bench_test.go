package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/limits"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/routing"
)

// The size of a data centre in the design.
const (
	benchOrganisations = 2900
	benchModels        = 33
	benchEndpoints     = 130
)

// designTable returns a configuration with the organisations, models and endpoints
// of one data centre.
func designTable() config.Table {
	t := config.Table{Tiers: []config.TierRow{
		{Name: "a", Rank: 0, DeadlineMillis: 60_000},
		{Name: "b", Rank: 1, DeadlineMillis: 60_000},
		{Name: "c", Rank: 2, DeadlineMillis: 60_000},
	}}
	for i := range benchModels {
		t.Models = append(t.Models, config.ModelRow{Name: fmt.Sprintf("m%d", i), MaxPromptTokens: 8000, MaxAnswerTokens: 2000})
	}
	for i := range benchOrganisations {
		id := fmt.Sprintf("o%d", i)
		t.Organisations = append(t.Organisations, config.OrganisationRow{
			ID: domain.OrganisationID(id), Tier: t.Tiers[i%3].Name, Weight: 1 + i%7, InFlight: 1000, TokensPerMinute: 100_000_000,
			KeyHashes: config.FormatKeyHash(config.HashKey(id)), HomeDataCentre: "d",
		})
	}
	for i := range benchEndpoints {
		t.Endpoints = append(t.Endpoints, config.EndpointRow{
			ID: domain.EndpointID(fmt.Sprintf("e%d", i)), Kind: config.KindEngine, DataCentre: "d",
			Address: fmt.Sprintf("http://192.0.2.1:%d", 8000+i), Serves: fmt.Sprintf("m%d", i%benchModels),
			Generation: "g", Weight: 100, Limit: 64, TokenLimit: 500_000,
		})
	}
	return t
}

// BenchmarkDecision measures all decisions about one request on the node that owns
// its pool: admission by the organisation's limits, queueing, choice of an endpoint
// by routing, and release of the slot.
func BenchmarkDecision(b *testing.B) {
	snapshot, err := config.Compile(designTable(), 1)
	assert.NilError(b, err)
	view := config.NewStaticView(snapshot)
	network := peertest.NewNetwork()
	defer network.Close()
	self := domain.Member{Node: "n", Incarnation: 1, DataCentre: "d"}
	transport := network.Node(self)
	members := membership.NewStaticView(membership.AllAlive(self, self))
	limiter := limits.New(limits.Options{Transport: transport, Membership: members, Config: view})
	defer limiter.Close()
	pools := capacity.New(capacity.Options{
		Transport: transport, Membership: members, Config: view, NewChooser: routing.NewFactory(routing.Options{}).New,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = pools.Run(ctx) }()
	defer func() { stop(); <-done }()

	organisations := make([]*config.Organisation, benchOrganisations)
	for i := range organisations {
		organisations[i] = snapshot.Organisations[domain.OrganisationID(fmt.Sprintf("o%d", i))]
	}
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	i := 0
	decide := func() {
		org := organisations[i%benchOrganisations]
		permit, err := limiter.Admit(org, 500, 200)
		assert.NilError(b, err)
		grant, err := pools.Acquire(ctx, capacity.Request{
			Name: "r", Pool: domain.ModelPool(snapshot.Table.Models[i%benchModels].Name), Organisation: org.ID, Tier: org.Rank,
			PromptTokens: 500, AnswerTokens: 200, Blocks: blocks, Deadline: time.Minute,
		})
		assert.NilError(b, err)
		grant.Release(capacity.Result{})
		permit.Release(500, 200)
		i++
	}
	for range 2 * benchOrganisations {
		decide()
	}
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
