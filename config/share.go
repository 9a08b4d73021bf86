package config

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// Share is what an organisation is due of its tier, between 0 and 1.
type Share struct {
	Tier  string  `json:"tier"`
	Share float64 `json:"share"`
}

// ShareEffect is how a change of the table alters an organisation's share. A
// zero Share stands for an organisation that is not in the table.
type ShareEffect struct {
	Organisation domain.OrganisationID `json:"organisation"`
	Before       Share                 `json:"before"`
	After        Share                 `json:"after"`
}

// Shares returns each organisation's share: its weight among its tier's.
func Shares(t Table) map[domain.OrganisationID]Share {
	total := make(map[string]float64)
	for _, row := range t.Organisations {
		total[row.Tier] += float64(row.Weight)
	}
	shares := make(map[domain.OrganisationID]Share, len(t.Organisations))
	for _, row := range t.Organisations {
		if total[row.Tier] > 0 {
			shares[row.ID] = Share{Tier: row.Tier, Share: float64(row.Weight) / total[row.Tier]}
		}
	}
	return shares
}

// ShareEffects returns the organisations whose tier or share differs, those with
// the largest difference first.
func ShareEffects(before, after Table) []ShareEffect {
	was, is := Shares(before), Shares(after)
	var effects []ShareEffect
	for id, share := range is {
		if was[id] != share {
			effects = append(effects, ShareEffect{Organisation: id, Before: was[id], After: share})
		}
	}
	for id, share := range was {
		if _, ok := is[id]; !ok {
			effects = append(effects, ShareEffect{Organisation: id, Before: share})
		}
	}
	slices.SortFunc(effects, compareEffects)
	return effects
}

func compareEffects(a, b ShareEffect) int {
	if c := cmp.Compare(b.size(), a.size()); c != 0 {
		return c
	}
	return cmp.Compare(a.Organisation, b.Organisation)
}

func (e ShareEffect) size() float64 {
	return max(e.After.Share-e.Before.Share, e.Before.Share-e.After.Share)
}
