package domain

// ScopeKind tells which process decides about a request key.
type ScopeKind uint8

const (
	// ScopeDataCentre keys are decided by the member of the data centre's ledger
	// table that comes first in rendezvous order for the key.
	ScopeDataCentre ScopeKind = iota
	// ScopeNode keys are decided by one named life of one node. When that life is
	// gone nobody can decide, and the outcome is unknown.
	ScopeNode
)

// Scope names the place where a request key is decided. It is part of the key:
// the same client key in two scopes is two different requests.
type Scope struct {
	Kind        ScopeKind   `cbor:"1,keyasint" json:"kind"`
	DataCentre  DataCentre  `cbor:"2,keyasint,omitempty" json:"data_centre,omitempty"`
	Node        NodeID      `cbor:"3,keyasint,omitempty" json:"node,omitempty"`
	Incarnation Incarnation `cbor:"4,keyasint,omitempty" json:"incarnation,omitempty"`
}

// RequestKey identifies a request over all its attempts. It is comparable and
// may be used as a map key.
type RequestKey struct {
	Scope        Scope          `cbor:"1,keyasint" json:"scope"`
	Organisation OrganisationID `cbor:"2,keyasint" json:"organisation"`
	// Session is the session's identifier, empty outside sessions.
	Session string `cbor:"3,keyasint,omitempty" json:"session,omitempty"`
	// Client is the value of Idempotency-Key, or a minted one.
	Client string `cbor:"4,keyasint" json:"client"`
}

// String returns a unique printable form, which endpoints get as the request's
// name. It is not secret.
func (k RequestKey) String() string {
	place := string(k.Scope.DataCentre)
	if k.Scope.Kind == ScopeNode {
		place = "@" + (Member{Node: k.Scope.Node, Incarnation: k.Scope.Incarnation}).String()
	}
	return escape(string(k.Organisation)) + ":" + escape(place) + ":" + escape(k.Session) + ":" + escape(k.Client)
}
