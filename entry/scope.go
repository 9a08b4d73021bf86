package entry

import (
	"cmp"
	"maps"
	"slices"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// keyScope returns the scope of a key. A generated key contains its scope. The
// scope of a caller's own key is the home data centre of the session, else that of
// the organisation, else a data centre chosen by a hash that is the same on all
// nodes.
func (s *Server) keyScope(caller callerInfo, key string) (domain.Scope, bool) {
	if scope, ok := generatedKeyScope(key); ok {
		return scope, true
	}
	home := cmp.Or(caller.session.Home, caller.organisation.HomeDataCentre)
	if home == "" {
		home = dataCentreForKey(s.dataCentres(caller.snapshot), caller.organisation.ID, key)
	}
	return domain.Scope{Kind: domain.ScopeDataCentre, DataCentre: home}, home != ""
}

// dataCentreForKey chooses a data centre by rendezvous hashing of the organisation
// and the key. It returns "" if the list is empty.
func dataCentreForKey(dataCentres []domain.DataCentre, organisation domain.OrganisationID, key string) domain.DataCentre {
	first := rendezvous.First(string(organisation)+"\x00"+key, dataCentres, func(d domain.DataCentre) string { return string(d) })
	if first < 0 {
		return ""
	}
	return dataCentres[first]
}

// dataCentreCache holds the sorted data centres of one snapshot, so that they are
// computed once for each snapshot.
type dataCentreCache struct {
	snapshot    *config.Snapshot
	dataCentres []domain.DataCentre
}

// dataCentres returns the data centres that have endpoints in the snapshot, sorted.
func (s *Server) dataCentres(snapshot *config.Snapshot) []domain.DataCentre {
	if cached := s.dataCentreCache.Load(); cached != nil && cached.snapshot == snapshot {
		return cached.dataCentres
	}
	set := make(map[domain.DataCentre]bool)
	for _, row := range snapshot.Endpoints {
		set[row.DataCentre] = true
	}
	list := slices.Sorted(maps.Keys(set))
	s.dataCentreCache.Store(&dataCentreCache{snapshot: snapshot, dataCentres: list})
	return list
}
