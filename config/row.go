package config

// Row is a row of any kind. Exactly one field is set.
type Row struct {
	Tier         *TierRow         `json:"tier,omitempty"`
	Organisation *OrganisationRow `json:"organisation,omitempty"`
	Model        *ModelRow        `json:"model,omitempty"`
	Service      *ServiceRow      `json:"service,omitempty"`
	Endpoint     *EndpointRow     `json:"endpoint,omitempty"`
}

// Kind returns the row's kind, or "" if no field is set.
func (r Row) Kind() Kind {
	switch {
	case r.Tier != nil:
		return KindTiers
	case r.Organisation != nil:
		return KindOrganisations
	case r.Model != nil:
		return KindModels
	case r.Service != nil:
		return KindServices
	case r.Endpoint != nil:
		return KindEndpoints
	}
	return ""
}

// Key returns the row's name or identifier.
func (r Row) Key() string {
	switch r.Kind() {
	case KindTiers:
		return r.Tier.Name
	case KindOrganisations:
		return string(r.Organisation.ID)
	case KindModels:
		return r.Model.Name
	case KindServices:
		return r.Service.Name
	case KindEndpoints:
		return string(r.Endpoint.ID)
	}
	return ""
}

// Cells returns the row's cells in column order.
func (r Row) Cells() []Cell {
	switch r.Kind() {
	case KindTiers:
		return cellsOf(*r.Tier)
	case KindOrganisations:
		return cellsOf(*r.Organisation)
	case KindModels:
		return cellsOf(*r.Model)
	case KindServices:
		return cellsOf(*r.Service)
	case KindEndpoints:
		return cellsOf(*r.Endpoint)
	}
	return nil
}

// equal reports whether two rows have the same kind and the same cells.
func (r Row) equal(o Row) bool {
	switch {
	case r.Kind() != o.Kind():
		return false
	case r.Tier != nil:
		return *r.Tier == *o.Tier
	case r.Organisation != nil:
		return *r.Organisation == *o.Organisation
	case r.Model != nil:
		return *r.Model == *o.Model
	case r.Service != nil:
		return *r.Service == *o.Service
	case r.Endpoint != nil:
		return *r.Endpoint == *o.Endpoint
	}
	return true
}

// Rows returns all rows of the table in the order of Kinds. They point into t.
func (t Table) Rows() []Row {
	var rows []Row
	for i := range t.Tiers {
		rows = append(rows, Row{Tier: &t.Tiers[i]})
	}
	for i := range t.Organisations {
		rows = append(rows, Row{Organisation: &t.Organisations[i]})
	}
	for i := range t.Models {
		rows = append(rows, Row{Model: &t.Models[i]})
	}
	for i := range t.Services {
		rows = append(rows, Row{Service: &t.Services[i]})
	}
	for i := range t.Endpoints {
		rows = append(rows, Row{Endpoint: &t.Endpoints[i]})
	}
	return rows
}

// add appends a row to the slice of its kind.
func (t *Table) add(r Row) {
	switch r.Kind() {
	case KindTiers:
		t.Tiers = append(t.Tiers, *r.Tier)
	case KindOrganisations:
		t.Organisations = append(t.Organisations, *r.Organisation)
	case KindModels:
		t.Models = append(t.Models, *r.Model)
	case KindServices:
		t.Services = append(t.Services, *r.Service)
	case KindEndpoints:
		t.Endpoints = append(t.Endpoints, *r.Endpoint)
	}
}
