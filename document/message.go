package document

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	methodAnnounce peer.Method = "document.announce"
	methodOffer    peer.Method = "document.offer"
	methodDigest   peer.Method = "document.digest"
	methodPull     peer.Method = "document.pull"
	methodParts    peer.Method = "document.parts"
	methodStatus   peer.Method = "document.status"
	methodCentre   peer.Method = "document.centre"
)

// announcement tells that the sender holds a version. As an offer it goes to a
// peer that was found to lack it.
type announcement struct {
	Name  string `cbor:"1,keyasint"`
	Stamp Stamp  `cbor:"2,keyasint"`
	// Root is the node at the root of the tree in which it is handed on; empty if
	// it isn't.
	Root domain.NodeID `cbor:"3,keyasint,omitempty"`
}

// digestRequest compares all that two nodes hold.
type digestRequest struct {
	// Sum is a hash over all names and stamps; zero asks for the stamps.
	Sum uint64 `cbor:"1,keyasint,omitempty"`
}

// digestReply has the stamps, unless the sums are equal.
type digestReply struct {
	Stamps map[string]Stamp `cbor:"1,keyasint,omitempty"`
}

// pullRequest asks for a version later than Base.
type pullRequest struct {
	Name string `cbor:"1,keyasint"`
	Base Stamp  `cbor:"2,keyasint"`
	// Good asks for the version in force instead of the latest one held.
	Good bool `cbor:"3,keyasint,omitempty"`
}

// pullReply has a version, its manifest as a difference to Base if the peer
// still knew that one, and the first page of the parts that are new.
type pullReply struct {
	Version Version  `cbor:"1,keyasint"`
	Base    Stamp    `cbor:"2,keyasint"`
	Runs    []run    `cbor:"3,keyasint,omitempty"`
	Parts   [][]byte `cbor:"4,keyasint,omitempty"`
}

// partsRequest asks for parts by hash.
type partsRequest struct {
	Name   string `cbor:"1,keyasint"`
	Hashes []Hash `cbor:"2,keyasint"`
}

// partsReply has as many of the parts as fit into a page, in the order asked;
// it ends early at one that the peer does not have.
type partsReply struct {
	Parts [][]byte `cbor:"1,keyasint"`
}

// statusRequest asks for the conditions of a node, or of a data centre's nodes.
type statusRequest struct{}

// statusReply has the conditions of all documents of a node.
type statusReply struct {
	Conditions []Condition   `cbor:"1,keyasint"`
	Uptime     time.Duration `cbor:"2,keyasint"`
}

// centreReply has the nodes of a data centre that could be reached from there.
type centreReply struct {
	Nodes []NodeStatus `cbor:"1,keyasint"`
}
