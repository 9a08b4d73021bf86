package gossip

// Fleet counts the nodes: those that may be alive, this one included, those heard from lately, and both for this data
// centre.
type Fleet struct {
	Known int
	Heard int
	Near  int
}

// Fleet returns the present counts.
func (m *Mesh) Fleet() Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := Fleet{Known: 1, Heard: 1, Near: 1}
	for _, p := range m.peers {
		fleet.Known++
		if !p.silent {
			fleet.Heard++
		}
		if p.centre == m.parts.DataCentre {
			fleet.Near++
		}
	}
	return fleet
}

// Confirms reports whether this node is one of those of its data centre that confirm the configuration for the others:
// the first by name of those that are heard and stay.
func (m *Mesh) Confirms() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := 0
	for id, p := range m.peers {
		if p.centre == m.parts.DataCentre && !p.silent && !p.leaving && id < m.parts.Self {
			before++
		}
	}
	return before < confirmers
}
