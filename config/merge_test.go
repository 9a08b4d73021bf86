package config

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// editedTable returns the sorted test table with a change applied.
func editedTable(change func(t *Table)) Table {
	t := testTable()
	t.Sort()
	change(&t)
	return t
}

func TestMerge(t *testing.T) {
	weight := func(w int) func(*Table) { return func(t *Table) { t.Organisations[0].Weight = w } }
	none := func(*Table) {}
	add := func(t *Table) {
		t.Organisations = append(t.Organisations, OrganisationRow{ID: "new", Tier: "gold", Weight: 2})
	}
	remove := func(t *Table) { t.Organisations = t.Organisations[1:] }
	cases := []struct {
		name         string
		theirs, mine func(*Table)
		want         func(*Table)
		conflicts    []Conflict
	}{
		{"only my change", none, weight(5), weight(5), nil},
		{"changes of different rows", func(t *Table) { t.Organisations[1].Weight = 9 }, weight(5), func(t *Table) {
			t.Organisations[0].Weight = 5
			t.Organisations[1].Weight = 9
		}, nil},
		{"same change", weight(5), weight(5), weight(5), nil},
		{"same row added", add, add, add, nil},
		{"same row removed", remove, remove, remove, nil},
		{"different changes of one cell", weight(4), weight(5), nil, []Conflict{
			{KindOrganisations, "cucine", "weight", "3", "4", "5"},
		}},
		{"changes of two cells of one row", func(t *Table) { t.Organisations[0].InFlight = 20 }, weight(5), nil, []Conflict{
			{KindOrganisations, "cucine", "in_flight", "10", "20", "10"},
		}},
		{"removed by them", remove, weight(5), nil, []Conflict{
			{KindOrganisations, "cucine", "id", "cucine", missingRow, "cucine"},
			{KindOrganisations, "cucine", "weight", "3", missingRow, "5"},
		}},
		{"removed by me", weight(5), remove, nil, []Conflict{
			{KindOrganisations, "cucine", "id", "cucine", "cucine", missingRow},
			{KindOrganisations, "cucine", "weight", "3", "5", missingRow},
		}},
		{"different rows added under one key", add, func(t *Table) { add(t); t.Organisations[2].Weight = 7 }, nil, []Conflict{
			{KindOrganisations, "new", "id", missingRow, "new", "new"},
			{KindOrganisations, "new", "weight", missingRow, "2", "7"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			base := editedTable(none)
			got, err := Merge(editedTable(c.theirs), Diff(base, editedTable(c.mine)))
			if c.conflicts != nil {
				var conflicts Conflicts
				assert.Assert(t, errors.As(err, &conflicts))
				assert.DeepEqual(t, []Conflict(conflicts), c.conflicts)
				return
			}
			assert.NilError(t, err)
			want := editedTable(c.want)
			want.Sort()
			assert.DeepEqual(t, got, want)
		})
	}
	_, err := Merge(testTable(), []Change{{Kind: KindTiers, Key: "gold", After: &Row{Model: &ModelRow{Name: "gold"}}}})
	assert.ErrorIs(t, err, errChange)
}

func TestDiffAndShares(t *testing.T) {
	before := editedTable(func(*Table) {})
	after := editedTable(func(t *Table) {
		t.Organisations = append(t.Organisations, OrganisationRow{ID: "new", Tier: "gold", Weight: 1})
		t.Endpoints = t.Endpoints[1:]
		t.Models[0].MaxAnswerTokens = 1
	})
	changes := Diff(before, after)
	assert.Equal(t, len(changes), 3)
	assert.Equal(t, changes[0].Key, "new")
	assert.DeepEqual(t, changes[1].Cells(), []CellChange{{"max_answer_tokens", "4096", "1"}})
	assert.Equal(t, len(changes[2].Cells()), len(columnsOf[EndpointRow]()))
	assert.DeepEqual(t, ShareEffects(before, after), []ShareEffect{
		{Organisation: "cucine", Before: Share{"gold", 1}, After: Share{"gold", 0.75}},
		{Organisation: "new", After: Share{"gold", 0.25}},
	})
}
