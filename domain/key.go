package domain

// ScopeKind determines which process decides about a request key.
type ScopeKind uint8

const (
	// ScopeDataCentre keys are decided by the member of the data centre's ledger
	// table that comes first in rendezvous order for the key.
	ScopeDataCentre ScopeKind = iota
	// ScopeNode keys are decided by one incarnation of one node. After that process
	// has ended nobody can decide, and the outcome is unknown.
	ScopeNode
)

// Scope identifies the process that decides about a request key. It is part of the
// key: the same client key in two scopes means two different requests.
type Scope struct {
	Kind        ScopeKind   `cbor:"1,keyasint" json:"kind"`
	DataCentre  DataCentre  `cbor:"2,keyasint,omitempty" json:"data_centre,omitempty"`
	Node        NodeID      `cbor:"3,keyasint,omitempty" json:"node,omitempty"`
	Incarnation Incarnation `cbor:"4,keyasint,omitempty" json:"incarnation,omitempty"`
}

// RequestKey identifies a request over all its attempts. It is comparable and may
// be used as a map key.
type RequestKey struct {
	Scope        Scope          `cbor:"1,keyasint" json:"scope"`
	Organisation OrganisationID `cbor:"2,keyasint" json:"organisation"`
	// Session is the identifier of the session, empty outside sessions.
	Session string `cbor:"3,keyasint,omitempty" json:"session,omitempty"`
	// Client is the value of Idempotency-Key, or a generated one.
	Client string `cbor:"4,keyasint" json:"client"`
}

// String returns a unique printable form, which is sent to endpoints as the name of
// the request. It is not secret.
func (k RequestKey) String() string {
	scope := string(k.Scope.DataCentre)
	if k.Scope.Kind == ScopeNode {
		scope = "@" + (Member{Node: k.Scope.Node, Incarnation: k.Scope.Incarnation}).String()
	}
	return escape(string(k.Organisation)) + ":" + escape(scope) + ":" + escape(k.Session) + ":" + escape(k.Client)
}
