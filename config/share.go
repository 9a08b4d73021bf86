package config

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// Share is the fraction of its tier's capacity that an organisation is entitled to,
// between 0 and 1.
type Share struct {
	Tier  string  `json:"tier"`
	Share float64 `json:"share"`
}

// ShareEffect is the effect of a table change on an organisation's share. The share
// is zero if the organisation is not in the table.
type ShareEffect struct {
	Organisation domain.OrganisationID `json:"organisation"`
	Before       Share                 `json:"before"`
	After        Share                 `json:"after"`
}

// Shares returns each organisation's share: its weight divided by the total weight
// of its tier.
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

// ShareEffects returns the effects for the organisations whose tier or share
// differs, largest change of the share first.
func ShareEffects(before, after Table) []ShareEffect {
	old, current := Shares(before), Shares(after)
	var effects []ShareEffect
	for id, share := range current {
		if old[id] != share {
			effects = append(effects, ShareEffect{Organisation: id, Before: old[id], After: share})
		}
	}
	for id, share := range old {
		if _, ok := current[id]; !ok {
			effects = append(effects, ShareEffect{Organisation: id, Before: share})
		}
	}
	slices.SortFunc(effects, compareEffects)
	return effects
}

func compareEffects(a, b ShareEffect) int {
	if c := cmp.Compare(b.magnitude(), a.magnitude()); c != 0 {
		return c
	}
	return cmp.Compare(a.Organisation, b.Organisation)
}

func (e ShareEffect) magnitude() float64 {
	return max(e.After.Share-e.Before.Share, e.Before.Share-e.After.Share)
}
