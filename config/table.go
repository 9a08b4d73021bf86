package config

import (
	"cmp"
	"slices"
)

// Clone returns a deep copy of t.
func (t Table) Clone() Table {
	return Table{
		Tiers:         slices.Clone(t.Tiers),
		Organisations: slices.Clone(t.Organisations),
		Models:        slices.Clone(t.Models),
		Services:      slices.Clone(t.Services),
		Endpoints:     slices.Clone(t.Endpoints),
	}
}

// Sort sorts the rows into canonical order: tiers by rank, all others by name or
// identifier. Two sorted tables with the same rows are equal.
func (t *Table) Sort() {
	slices.SortStableFunc(t.Tiers, func(a, b TierRow) int { return cmp.Compare(a.Rank, b.Rank) })
	slices.SortStableFunc(t.Organisations, func(a, b OrganisationRow) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(t.Models, func(a, b ModelRow) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Services, func(a, b ServiceRow) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Endpoints, func(a, b EndpointRow) int { return cmp.Compare(a.ID, b.ID) })
}
