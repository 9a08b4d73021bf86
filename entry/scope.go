package entry

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// scopeOf returns where a caller's own key is decided: in the session's data
// centre, else the organisation's, else one that all nodes compute alike. A
// minted key names its scope itself.
func scopeOf(snapshot *config.Snapshot, organisation *config.Organisation, home domain.DataCentre, key string) (domain.Scope, bool) {
	if scope, ok := mintedScope(key); ok {
		return scope, true
	}
	if home == "" {
		home = organisation.HomeDataCentre
	}
	if home == "" {
		home = rendezvous(snapshot, organisation.ID, key)
	}
	return domain.Scope{Kind: domain.ScopeDataCentre, DataCentre: home}, home != ""
}

// rendezvous returns the data centre with the highest hash of the key.
func rendezvous(snapshot *config.Snapshot, organisation domain.OrganisationID, key string) domain.DataCentre {
	var best domain.DataCentre
	var top uint64
	for _, row := range snapshot.Endpoints {
		weight := xxhash.Sum64String(string(row.DataCentre) + "\x00" + string(organisation) + "\x00" + key)
		if best == "" || cmp.Or(cmp.Compare(weight, top), cmp.Compare(row.DataCentre, best)) > 0 {
			best, top = row.DataCentre, weight
		}
	}
	return best
}
