package directory

import "hawthornrill.example/hawthornrill/domain"

// Versions returns the number of endpoints that are not leaving, by service and version of their software.
func (s *Snapshot) Versions() map[string]map[string]int {
	counts := make(map[string]map[string]int, len(s.services))
	for service, endpoints := range s.services {
		byVersion := make(map[string]int)
		for _, e := range endpoints {
			if !e.Leaving {
				byVersion[e.Version]++
			}
		}
		counts[service] = byVersion
	}
	return counts
}

// MaxVersions returns the largest number of software versions that serve side by side in one service.
func (s *Snapshot) MaxVersions() int {
	most := 0
	for _, byVersion := range s.Versions() {
		most = max(most, len(byVersion))
	}
	return most
}

// withChangedVersion returns the entry that replaces one with another version. The version of an incarnation can't change: if two
// entries of one contradict each other, it is unknown. The lock is held.
func (d *Directory) withChangedVersion(e, listed *Endpoint) *Endpoint {
	d.versionChanges = append(d.versionChanges, e.ID)
	if e.Incarnation() != listed.Incarnation() || e.Version == "" {
		return e
	}
	unknown := *e
	unknown.Version = ""
	return &unknown
}

// TakeVersionChanges returns the IDs of the endpoints whose version has changed since the last call.
func (d *Directory) TakeVersionChanges() []domain.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.versionChanges
	d.versionChanges = nil
	return changes
}
