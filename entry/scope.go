package entry

import (
	"cmp"
	"maps"
	"slices"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// scopeOf returns where a caller's own key is decided: in the session's data
// centre, else the organisation's, else one that all nodes compute alike. A
// minted key names its scope itself.
func (s *Server) scopeOf(who caller, key string) (domain.Scope, bool) {
	if scope, ok := mintedScope(key); ok {
		return scope, true
	}
	home := cmp.Or(who.session.Home, who.organisation.HomeDataCentre)
	if home == "" {
		home = spread(s.dataCentres(who.snapshot), who.organisation.ID, key)
	}
	return domain.Scope{Kind: domain.ScopeDataCentre, DataCentre: home}, home != ""
}

// spread chooses a data centre by the key, none if there is none.
func spread(places []domain.DataCentre, organisation domain.OrganisationID, key string) domain.DataCentre {
	first := rendezvous.First(string(organisation)+"\x00"+key, places, func(d domain.DataCentre) string { return string(d) })
	if first < 0 {
		return ""
	}
	return places[first]
}

// places is the sorted list of a snapshot's data centres, worked out once.
type places struct {
	snapshot *config.Snapshot
	list     []domain.DataCentre
}

// dataCentres returns the data centres that have endpoints, sorted.
func (s *Server) dataCentres(snapshot *config.Snapshot) []domain.DataCentre {
	if known := s.places.Load(); known != nil && known.snapshot == snapshot {
		return known.list
	}
	set := make(map[domain.DataCentre]bool)
	for _, row := range snapshot.Endpoints {
		set[row.DataCentre] = true
	}
	list := slices.Sorted(maps.Keys(set))
	s.places.Store(&places{snapshot: snapshot, list: list})
	return list
}
