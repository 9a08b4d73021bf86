package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// homeTable has one organisation and an endpoint in each place.
func homeTable(home domain.DataCentre, places ...domain.DataCentre) Table {
	t := Table{Organisations: []OrganisationRow{{ID: "o", HomeDataCentre: home}}}
	for _, place := range places {
		t.Endpoints = append(t.Endpoints, EndpointRow{ID: domain.EndpointID(place + "-1"), DataCentre: place})
	}
	return t
}

func TestHomesStay(t *testing.T) {
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
		{"left empty", homeTable("", "a", "b", "c"), home, 0},
		{"another data centre joins", homeTable("", "a", "b", "c", "d", "e", "f", "g"), home, 0},
		{"moved while the data centre is there", homeTable("elsewhere", "a", "b", "c"), "elsewhere", 1},
		{"moved after the data centre has gone", homeTable("elsewhere", "elsewhere"), "elsewhere", 0},
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
