package config

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

const testKey = "key-of-cucine"

func testTable() Table {
	return Table{
		Tiers: []TierRow{
			{Name: "batch", Rank: 2, DeadlineMillis: 600_000},
			{Name: "gold", Rank: 0, FirstTokenMillis: 310, DeadlineMillis: 60_000},
		},
		Organisations: []OrganisationRow{
			{ID: "vans", Tier: "batch", Weight: 1},
			{ID: "cucine", Tier: "gold", Weight: 3, InFlight: 10, KeyHashes: FormatKeyHash(HashKey(testKey)), HomeDataCentre: "palermo"},
		},
		Models:   []ModelRow{{Name: "quote-1", MaxPromptTokens: 8192, MaxAnswerTokens: 4096}},
		Services: []ServiceRow{{Name: "catalogue", Once: "POST, PUT /saved-jobs", DeadlineMillis: 5000}},
		Endpoints: []EndpointRow{
			{ID: "q2", Kind: KindEngine, DataCentre: "catania", Address: "http://127.0.0.1:9002", Serves: "quote-1", Weight: 100, Limit: 8},
			{ID: "q1", Kind: KindEngine, DataCentre: "palermo", Address: "http://127.0.0.1:9001", Serves: "quote-1", Weight: 100, Limit: 8},
			{ID: "c1", Kind: KindService, DataCentre: "palermo", Address: "http://127.0.0.1:9003", Serves: "catalogue", Weight: 100, Limit: 50},
		},
	}
}

func TestCompileIndexes(t *testing.T) {
	table := testTable()
	s, err := Compile(table, 7)
	assert.NilError(t, err)
	table.Organisations[1].Weight = 99
	organisation := s.OrganisationByKeyHash[HashKey(testKey)]
	assert.Equal(t, organisation, s.Organisations["cucine"])
	assert.Equal(t, organisation.Weight, 3)
	assert.Equal(t, organisation.DefaultDeadline, time.Minute)
	assert.Equal(t, organisation.FirstTokenTarget, 310*time.Millisecond)
	pool := s.Pools[domain.ModelPool("quote-1")]
	assert.Equal(t, len(pool), 2)
	assert.Equal(t, pool[0], s.Endpoints["q1"])
	assert.Assert(t, s.NonIdempotentRules["catalogue"].Match("PUT", "/saved-jobs/4"))
	assert.Assert(t, !s.NonIdempotentRules["catalogue"].Match("PUT", "/items"))
	assert.Equal(t, s.Table.Tiers[0].Name, "gold")
	assert.Equal(t, NewStaticView(s).Current().Revision, Revision(7))
}

func TestCompileReportsEveryProblem(t *testing.T) {
	hash := FormatKeyHash(HashKey(testKey))
	cases := []struct {
		change func(*Table)
		kind   Kind
		row    int
		column string
	}{
		{func(t *Table) { t.Tiers[1].Rank = 2 }, KindTiers, 2, "rank"},
		{func(t *Table) { t.Tiers[0].DeadlineMillis = 0 }, KindTiers, 1, "deadline_ms"},
		{func(t *Table) { t.Tiers[1].FirstTokenMillis = 60_001 }, KindTiers, 2, "first_token_ms"},
		{func(t *Table) { t.Organisations[0].ID = "two words" }, KindOrganisations, 1, "id"},
		{func(t *Table) { t.Organisations[0].ID = "cucine" }, KindOrganisations, 2, "id"},
		{func(t *Table) { t.Organisations[0].Tier = "silver" }, KindOrganisations, 1, "tier"},
		{func(t *Table) { t.Organisations[0].Weight = 0 }, KindOrganisations, 1, "weight"},
		{func(t *Table) { t.Organisations[0].InFlight = -1 }, KindOrganisations, 1, "in_flight"},
		{func(t *Table) { t.Organisations[0].TokensPerMinute = -1 }, KindOrganisations, 1, "tokens_per_minute"},
		{func(t *Table) { t.Organisations[0].KeyHashes = "ab" }, KindOrganisations, 1, "key_hashes"},
		{func(t *Table) { t.Organisations[0].KeyHashes = hash }, KindOrganisations, 2, "key_hashes"},
		{func(t *Table) { t.Organisations[0].HomeDataCentre = "enna" }, KindOrganisations, 1, "home_data_centre"},
		{func(t *Table) { t.Models[0].MaxPromptTokens = 0 }, KindModels, 1, "max_prompt_tokens"},
		{func(t *Table) { t.Models[0].MaxAnswerTokens = -3 }, KindModels, 1, "max_answer_tokens"},
		{func(t *Table) { t.Services[0].Once = "SEND /x" }, KindServices, 1, "once"},
		{func(t *Table) { t.Services[0].DeadlineMillis = 0 }, KindServices, 1, "deadline_ms"},
		{func(t *Table) { t.Endpoints[0].ID = "" }, KindEndpoints, 1, "id"},
		{func(t *Table) { t.Endpoints[0].Kind = "gpu" }, KindEndpoints, 1, "kind"},
		{func(t *Table) { t.Endpoints[0].DataCentre = "" }, KindEndpoints, 1, "data_centre"},
		{func(t *Table) { t.Endpoints[0].Address = "http://name:80" }, KindEndpoints, 1, "address"},
		{func(t *Table) { t.Endpoints[0].Address = "http://127.0.0.1:9001" }, KindEndpoints, 2, "address"},
		{func(t *Table) { t.Endpoints[0].Serves = "" }, KindEndpoints, 1, "serves"},
		{func(t *Table) { t.Endpoints[0].Serves = "catalogue" }, KindEndpoints, 1, "serves"},
		{func(t *Table) { t.Endpoints[0].Serves = "quote-1 quote-1" }, KindEndpoints, 1, "serves"},
		{func(t *Table) { t.Endpoints[0].Weight = 101 }, KindEndpoints, 1, "weight"},
		{func(t *Table) { t.Endpoints[0].Limit = 0 }, KindEndpoints, 1, "limit"},
		{func(t *Table) { t.Endpoints[0].TokenLimit = -1 }, KindEndpoints, 1, "token_limit"},
	}
	for _, c := range cases {
		table := testTable()
		c.change(&table)
		_, err := Compile(table, 1)
		var problems Problems
		assert.Assert(t, errors.As(err, &problems), "%s %d %s", c.kind, c.row, c.column)
		assert.Equal(t, len(problems), 1, err.Error())
		assert.Equal(t, problems[0].Kind, c.kind)
		assert.Equal(t, problems[0].Row, c.row)
		assert.Equal(t, problems[0].Column, c.column)
	}

	table := testTable()
	table.Organisations[0].Weight = 0
	table.Endpoints[2].Limit = 0
	_, err := Compile(table, 1)
	assert.Error(t, err, "config: 2 problem(s) in the table\n"+
		"organisations row 1 (vans), weight: \"0\": must be between 1 and 1000000000\n"+
		"endpoints row 3 (c1), limit: \"0\": must be between 1 and 1000000000")
}

func TestTOMLRoundTrip(t *testing.T) {
	var buffer bytes.Buffer
	assert.NilError(t, WriteTOML(&buffer, testTable()))
	read, err := LoadTOML(&buffer)
	assert.NilError(t, err)
	want := testTable()
	want.Sort()
	assert.DeepEqual(t, read, want)

	_, err = LoadTOML(strings.NewReader("[[organisations]]\nid=\"a\"\nwieght=3\n[[engines]]\nid=\"x\"\n"))
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.ErrorContains(t, err, "wieght")
	assert.ErrorContains(t, err, "unknown kind of row")
	_, err = LoadTOML(strings.NewReader("[[organisations"))
	assert.ErrorIs(t, err, ErrFormat)
}
