package config

import (
	"slices"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Compile validates the table and builds the snapshot of a revision. The error is
// Problems and lists every problem. The table is copied, so the caller may modify it
// afterwards.
func Compile(table Table, revision Revision) (*Snapshot, error) {
	if err := Validate(&table).Err(); err != nil {
		return nil, err
	}
	s := &Snapshot{Revision: revision, Table: table.Clone()}
	s.Table.Sort()
	s.indexOrganisations()
	s.indexModels()
	s.indexServices()
	s.indexEndpoints()
	return s, nil
}

func (s *Snapshot) indexOrganisations() {
	tiers := make(map[string]*TierRow, len(s.Table.Tiers))
	for i := range s.Table.Tiers {
		tiers[s.Table.Tiers[i].Name] = &s.Table.Tiers[i]
	}
	s.Organisations = make(map[domain.OrganisationID]*Organisation, len(s.Table.Organisations))
	s.OrganisationByKeyHash = make(map[[32]byte]*Organisation, len(s.Table.Organisations))
	for _, row := range s.Table.Organisations {
		tier := tiers[row.Tier]
		organisation := &Organisation{
			OrganisationRow:  row,
			Rank:             tier.Rank,
			DefaultDeadline:  time.Duration(tier.DeadlineMillis) * time.Millisecond,
			FirstTokenTarget: time.Duration(tier.FirstTokenMillis) * time.Millisecond,
		}
		s.Organisations[row.ID] = organisation
		for field := range strings.FieldsSeq(row.KeyHashes) {
			hash, _ := parseKeyHash(field) // Validate has already parsed it.
			s.OrganisationByKeyHash[hash] = organisation
		}
	}
}

func (s *Snapshot) indexModels() {
	s.Models = make(map[string]*ModelRow, len(s.Table.Models))
	for i := range s.Table.Models {
		s.Models[s.Table.Models[i].Name] = &s.Table.Models[i]
	}
}

func (s *Snapshot) indexServices() {
	s.Services = make(map[string]*ServiceRow, len(s.Table.Services))
	s.NonIdempotentRules = make(map[string]NonIdempotentRules, len(s.Table.Services))
	for i := range s.Table.Services {
		row := &s.Table.Services[i]
		s.Services[row.Name] = row
		s.NonIdempotentRules[row.Name], _ = ParseNonIdempotentRules(row.Once) // Validate has already parsed it.
	}
}

func (s *Snapshot) indexEndpoints() {
	s.Endpoints = make(map[domain.EndpointID]*EndpointRow, len(s.Table.Endpoints))
	s.Pools = make(map[domain.PoolName][]*EndpointRow)
	for i := range s.Table.Endpoints {
		row := &s.Table.Endpoints[i]
		s.Endpoints[row.ID] = row
		for _, pool := range row.PoolNames() {
			s.Pools[pool] = append(s.Pools[pool], row)
		}
	}
	for pool, rows := range s.Pools {
		s.Pools[pool] = slices.Clip(rows)
	}
}

// PoolNames returns the names of the pools that the endpoint belongs to, one for
// each model or service that it serves.
func (r *EndpointRow) PoolNames() []domain.PoolName {
	var pools []domain.PoolName
	for name := range strings.FieldsSeq(r.Serves) {
		if r.Kind == KindService {
			pools = append(pools, domain.ServicePool(name))
			continue
		}
		pools = append(pools, domain.ModelPool(name))
	}
	return pools
}
