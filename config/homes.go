package config

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// AssignHomes gives every organisation of next without a home data centre the one
// that it has in before, or else one of next's data centres. The choice is kept in
// the table: were it worked out by each node, a change of the data centres would
// move the place where a key is decided between two attempts of one request.
func AssignHomes(before Table, next *Table) {
	known := homes(before)
	places := dataCentres(*next)
	for i := range next.Organisations {
		row := &next.Organisations[i]
		if row.HomeDataCentre == "" {
			row.HomeDataCentre = known[row.ID]
		}
		if row.HomeDataCentre == "" {
			row.HomeDataCentre = spread(row.ID, places)
		}
	}
}

// KeepHomes gives every organisation of next the home data centre that it has in
// before, where that still has endpoints.
func KeepHomes(before Table, next *Table) {
	known := homes(before)
	places := dataCentres(*next)
	for i := range next.Organisations {
		row := &next.Organisations[i]
		if home := known[row.ID]; slices.Contains(places, home) {
			row.HomeDataCentre = home
		}
	}
}

// CheckHomes returns a problem for each organisation whose home data centre
// changes although its earlier one still has endpoints: a key sent before the
// change could be decided again, and run again, after it.
func CheckHomes(before, next Table) Problems {
	known := homes(before)
	places := dataCentres(next)
	var problems Problems
	for i, row := range next.Organisations {
		home := known[row.ID]
		if home == "" || home == row.HomeDataCentre || !slices.Contains(places, home) {
			continue
		}
		problems = append(problems, Problem{
			Kind:   KindOrganisations,
			Row:    i + 1,
			Key:    string(row.ID),
			Column: "home_data_centre",
			Value:  string(row.HomeDataCentre),
			Reason: "can't change from " + string(home) + " while that has endpoints: a request sent again could run twice",
		})
	}
	return problems
}

func homes(t Table) map[domain.OrganisationID]domain.DataCentre {
	homes := make(map[domain.OrganisationID]domain.DataCentre, len(t.Organisations))
	for _, row := range t.Organisations {
		homes[row.ID] = row.HomeDataCentre
	}
	return homes
}

// dataCentres returns those that have endpoints, sorted.
func dataCentres(t Table) []domain.DataCentre {
	var places []domain.DataCentre
	for _, row := range t.Endpoints {
		places = append(places, row.DataCentre)
	}
	slices.Sort(places)
	return slices.Compact(places)
}

// spread chooses a place by the organisation, none if there is none.
func spread(id domain.OrganisationID, places []domain.DataCentre) domain.DataCentre {
	first := rendezvous.First(string(id), places, func(d domain.DataCentre) string { return string(d) })
	if first < 0 {
		return ""
	}
	return places[first]
}
