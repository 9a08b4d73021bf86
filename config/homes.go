package config

import (
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// AssignHomes sets the home data centre of every organisation in next that has
// none: to its value in before, otherwise to one of next's data centres. The choice
// is stored in the table. If each node computed it, a change of the set of data
// centres could move the decision on a request key between two attempts of the same
// request.
func AssignHomes(before Table, next *Table) {
	previous := homesByOrganisation(before)
	dataCentres := endpointDataCentres(*next)
	for i := range next.Organisations {
		row := &next.Organisations[i]
		if row.HomeDataCentre == "" {
			row.HomeDataCentre = previous[row.ID]
		}
		if row.HomeDataCentre == "" {
			row.HomeDataCentre = chooseHome(row.ID, dataCentres)
		}
	}
}

// KeepHomes sets the home data centre of every organisation in next to its value
// in before if that data centre still has endpoints in next.
func KeepHomes(before Table, next *Table) {
	previous := homesByOrganisation(before)
	dataCentres := endpointDataCentres(*next)
	for i := range next.Organisations {
		row := &next.Organisations[i]
		if home := previous[row.ID]; slices.Contains(dataCentres, home) {
			row.HomeDataCentre = home
		}
	}
}

// CheckHomes returns a problem for each organisation whose home data centre
// changes while the previous one still has endpoints. A request key sent before such
// a change could be decided again afterwards, and the request executed twice.
func CheckHomes(before, next Table) Problems {
	previous := homesByOrganisation(before)
	dataCentres := endpointDataCentres(next)
	var problems Problems
	for i, row := range next.Organisations {
		home := previous[row.ID]
		if home == "" || home == row.HomeDataCentre || !slices.Contains(dataCentres, home) {
			continue
		}
		problems = append(problems, Problem{
			Kind:   KindOrganisations,
			Row:    i + 1,
			Key:    string(row.ID),
			Column: "home_data_centre",
			Value:  string(row.HomeDataCentre),
			Reason: "can't change from " + string(home) + " while that data centre has endpoints: a retried request could be executed twice",
		})
	}
	return problems
}

func homesByOrganisation(t Table) map[domain.OrganisationID]domain.DataCentre {
	homes := make(map[domain.OrganisationID]domain.DataCentre, len(t.Organisations))
	for _, row := range t.Organisations {
		homes[row.ID] = row.HomeDataCentre
	}
	return homes
}

// endpointDataCentres returns the data centres that have endpoints, sorted.
func endpointDataCentres(t Table) []domain.DataCentre {
	var dataCentres []domain.DataCentre
	for _, row := range t.Endpoints {
		dataCentres = append(dataCentres, row.DataCentre)
	}
	slices.Sort(dataCentres)
	return slices.Compact(dataCentres)
}

// chooseHome selects a data centre by rendezvous hashing of the organisation's
// identifier. It returns "" if there are none.
func chooseHome(id domain.OrganisationID, dataCentres []domain.DataCentre) domain.DataCentre {
	first := rendezvous.First(string(id), dataCentres, func(d domain.DataCentre) string { return string(d) })
	if first < 0 {
		return ""
	}
	return dataCentres[first]
}
