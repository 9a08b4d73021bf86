package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// homeTable returns a table with one organisation and an endpoint in each data
// centre.
func homeTable(home domain.DataCentre, dataCentres ...domain.DataCentre) Table {
	t := Table{Organisations: []OrganisationRow{{ID: "o", HomeDataCentre: home}}}
	for _, dataCentre := range dataCentres {
		t.Endpoints = append(t.Endpoints, EndpointRow{ID: domain.EndpointID(dataCentre + "-1"), DataCentre: dataCentre})
	}
	return t
}

func TestHomeDataCentreIsStable(t *testing.T) {
	assigned := homeTable("", "a", "b", "c")
	AssignHomes(Table{}, &assigned)
	home := assigned.Organisations[0].HomeDataCentre
	assert.Assert(t, home != "")

	cases := []struct {
		name     string
		next     Table
		want     domain.DataCentre
		problems int
	}{
		{"empty", homeTable("", "a", "b", "c"), home, 0},
		{"data centres added", homeTable("", "a", "b", "c", "d", "e", "f", "g"), home, 0},
		{"changed while the data centre has endpoints", homeTable("elsewhere", "a", "b", "c"), "elsewhere", 1},
		{"changed after the data centre was removed", homeTable("elsewhere", "elsewhere"), "elsewhere", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			next := test.next.Clone()
			AssignHomes(assigned, &next)
			assert.Equal(t, next.Organisations[0].HomeDataCentre, test.want)
			assert.Equal(t, len(CheckHomes(assigned, next)), test.problems)
		})
	}

	rolledBack := homeTable("elsewhere", "a", "b", "c")
	KeepHomes(assigned, &rolledBack)
	assert.Equal(t, rolledBack.Organisations[0].HomeDataCentre, home)
}
