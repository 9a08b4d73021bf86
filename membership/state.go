package membership

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// PeerState describes a peer in the state dump.
type PeerState struct {
	Peer
	// Version counts the changes that the member has announced of itself. Suspect
	// is true while a refutation is awaited.
	Version uint64 `json:"version"`
	Suspect bool   `json:"suspect,omitempty"`
	// SinceMillis is the time since this node last saw a change of the
	// incarnation, intent or health.
	SinceMillis int64 `json:"since_ms"`
}

// DataCentreState describes another data centre in the state dump.
type DataCentreState struct {
	DataCentre domain.DataCentre `json:"data_centre"`
	Reached    bool              `json:"reached"`
	// Delegates are the nodes that exchange state with it.
	Delegates []domain.NodeID `json:"delegates"`
}

// State is the service's part of the state dump.
type State struct {
	Self        domain.Member     `json:"self"`
	Joined      bool              `json:"joined"`
	Replaced    bool              `json:"replaced"`
	DataCentres []DataCentreState `json:"data_centres"`
	ListReaders []domain.NodeID   `json:"list_readers"`
	Pending     int               `json:"pending_changes"`
	Peers       []PeerState       `json:"peers"`
}

// State returns the service's part of the state dump.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Self:        s.self,
		Joined:      !s.sync.joinedAt.IsZero(),
		Replaced:    s.local.replaced,
		DataCentres: []DataCentreState{},
		ListReaders: slices.Clone(s.delegation.hostListReaders),
		Pending:     len(s.broadcasts.pending),
	}
	for _, dc := range s.table.dataCentres() {
		if dc != s.self.DataCentre {
			state.DataCentres = append(state.DataCentres, DataCentreState{dc, s.delegation.reachable[dc], s.delegation.delegates[dc]})
		}
	}
	for _, p := range s.Current().Peers {
		e := s.table.entries[p.Node]
		state.Peers = append(state.Peers, PeerState{
			Peer:        p,
			Version:     e.Version,
			Suspect:     e.Health == healthSuspect,
			SinceMillis: time.Since(e.since).Milliseconds(),
		})
	}
	return state
}
