package membership

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// methodPing asks whether a life is there.
	methodPing peer.Method = "membership.ping"
	// methodRelay asks another node to ping a third one.
	methodRelay peer.Method = "membership.relay"
	// methodPush hands on changes.
	methodPush peer.Method = "membership.push"
	// methodPull fetches the parts of a table that differ.
	methodPull peer.Method = "membership.pull"
	// methodListed tells a node what the host list says of it.
	methodListed peer.Method = "membership.listed"
)

// news is what most messages carry: the sender's own state and changes that are
// being passed on.
type news struct {
	// Version and Intent are the sender's own.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Intent  intent `cbor:"2,keyasint,omitempty"`
	// Digest sums up the sender's table.
	Digest   uint64    `cbor:"3,keyasint,omitempty"`
	Records  []record  `cbor:"4,keyasint,omitempty"`
	Contacts []contact `cbor:"5,keyasint,omitempty"`
}

// ping asks whether a life is there. Its news may hold an accusation of the
// receiver, which the receiver refutes.
type ping struct {
	news
	// Introduce asks the receiver to say who it is.
	Introduce bool `cbor:"6,keyasint,omitempty"`
}

// ack answers a ping.
type ack struct {
	news
	// Member is the life that answers, if it was asked.
	Member *domain.Member `cbor:"6,keyasint,omitempty"`
}

// relayRequest asks to ping a third node on the sender's behalf.
type relayRequest struct {
	Target domain.Member `cbor:"1,keyasint"`
	// Accusation is what the sender holds against the target, if anything.
	Accusation *record `cbor:"2,keyasint,omitempty"`
}

// relayReply tells whether the target answered the relay, and with what.
type relayReply struct {
	Answered bool   `cbor:"1,keyasint,omitempty"`
	Version  uint64 `cbor:"2,keyasint,omitempty"`
	Intent   intent `cbor:"3,keyasint,omitempty"`
}

// pushRequest hands on changes.
type pushRequest struct{ news }

// empty is a reply without content.
type empty struct{}

// pullRequest names the parts of a table that the sender wants, with the hashes of
// what it has.
type pullRequest struct {
	// Version and Intent are the sender's own.
	Version uint64                       `cbor:"1,keyasint,omitempty"`
	Intent  intent                       `cbor:"2,keyasint,omitempty"`
	Hashes  map[domain.DataCentre]uint64 `cbor:"3,keyasint,omitempty"`
	// All asks for the data centres that are not in Hashes too, and for contacts.
	All bool `cbor:"4,keyasint,omitempty"`
}

// pullReply holds the whole tables of those data centres that differ.
type pullReply struct {
	Tables   []dataCentreTable `cbor:"1,keyasint,omitempty"`
	Contacts []contact         `cbor:"2,keyasint,omitempty"`
	// Settled is false from nodes that started a moment ago and may not know their
	// data centre yet.
	Settled bool `cbor:"3,keyasint,omitempty"`
}

// dataCentreTable is what a node knows of a data centre.
type dataCentreTable struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint"`
	Records    []record          `cbor:"2,keyasint,omitempty"`
}

// listedRequest tells a node what the host list says of it.
type listedRequest struct {
	Leaving bool `cbor:"1,keyasint,omitempty"`
}
