package directory

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
