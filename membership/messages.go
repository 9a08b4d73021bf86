package membership

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// methodPing checks that a member is running.
	methodPing peer.Method = "membership.ping"
	// methodRelay asks a node to ping a third one.
	methodRelay peer.Method = "membership.relay"
	// methodPush delivers changes.
	methodPush peer.Method = "membership.push"
	// methodPull fetches the parts of a table that differ.
	methodPull peer.Method = "membership.pull"
	// methodListed notifies a node of its state in the host list.
	methodListed peer.Method = "membership.listed"
)

// gossipPayload is part of most messages: the sender's own state and the changes
// that it forwards.
type gossipPayload struct {
	// Version and Intent are the sender's own.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Intent  intent `cbor:"2,keyasint,omitempty"`
	// Digest is the hash of the sender's table.
	Digest       uint64         `cbor:"3,keyasint,omitempty"`
	Records      []record       `cbor:"4,keyasint,omitempty"`
	Reachability []reachability `cbor:"5,keyasint,omitempty"`
}

// ping checks that a member is running. Its payload may hold a record of the
// receiver with worse health, which the receiver refutes.
type ping struct {
	gossipPayload
	// Identify asks the receiver to return its member record.
	Identify bool `cbor:"6,keyasint,omitempty"`
}

// ack is the reply to a ping.
type ack struct {
	gossipPayload
	// Member is the responding member, set if the ping has Identify.
	Member *domain.Member `cbor:"6,keyasint,omitempty"`
}

// relayRequest asks the receiver to ping a third node on the sender's behalf.
type relayRequest struct {
	Target domain.Member `cbor:"1,keyasint"`
	// ToRefute is the sender's record of the target if it is suspect or worse, or
	// of a later incarnation.
	ToRefute *record `cbor:"2,keyasint,omitempty"`
}

// relayReply holds the result of the relayed ping and the target's own state.
type relayReply struct {
	Answered bool   `cbor:"1,keyasint,omitempty"`
	Version  uint64 `cbor:"2,keyasint,omitempty"`
	Intent   intent `cbor:"3,keyasint,omitempty"`
}

// pushRequest delivers changes.
type pushRequest struct{ gossipPayload }

// empty is a reply without content.
type empty struct{}

// pullRequest selects the parts of a table that the sender wants, by the hashes
// of its own.
type pullRequest struct {
	// Version and Intent are the sender's own.
	Version uint64                       `cbor:"1,keyasint,omitempty"`
	Intent  intent                       `cbor:"2,keyasint,omitempty"`
	Hashes  map[domain.DataCentre]uint64 `cbor:"3,keyasint,omitempty"`
	// All also requests data centres that are not in Hashes, and the reachability
	// reports.
	All bool `cbor:"4,keyasint,omitempty"`
}

// pullReply holds the complete tables of the data centres that differ.
type pullReply struct {
	Tables       []dataCentreTable `cbor:"1,keyasint,omitempty"`
	Reachability []reachability    `cbor:"2,keyasint,omitempty"`
	// Settled is false from nodes that joined recently and may not know their
	// data centre completely yet.
	Settled bool `cbor:"3,keyasint,omitempty"`
}

// dataCentreTable holds a node's records of a data centre.
type dataCentreTable struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint"`
	Records    []record          `cbor:"2,keyasint,omitempty"`
}

// listedRequest notifies a node of its state in the host list.
type listedRequest struct {
	Leaving bool `cbor:"1,keyasint,omitempty"`
}
