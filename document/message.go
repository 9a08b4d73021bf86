package document

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	methodAnnounce         peer.Method = "document.announce"
	methodOffer            peer.Method = "document.offer"
	methodDigest           peer.Method = "document.digest"
	methodPull             peer.Method = "document.pull"
	methodParts            peer.Method = "document.parts"
	methodStatus           peer.Method = "document.status"
	methodDataCentreStatus peer.Method = "document.centre"
)

// announcement notifies a peer that the sender holds a version. It is sent by
// methodOffer to a peer that anti-entropy found to be behind.
type announcement struct {
	Name  string `cbor:"1,keyasint"`
	Stamp Stamp  `cbor:"2,keyasint"`
	// TreeRoot is the root of the broadcast tree in which the announcement is
	// forwarded. It is empty if the announcement is not to be forwarded.
	TreeRoot domain.NodeID `cbor:"3,keyasint,omitempty"`
}

// digestRequest compares the documents of two nodes.
type digestRequest struct {
	// Sum is a hash of the sender's document names and stamps. Zero requests the
	// stamps in any case.
	Sum uint64 `cbor:"1,keyasint,omitempty"`
}

// digestReply has the stamps, unless the hashes are equal.
type digestReply struct {
	Stamps map[string]Stamp `cbor:"1,keyasint,omitempty"`
}

// pullRequest requests the latest version if it is later than Base.
type pullRequest struct {
	Name string `cbor:"1,keyasint"`
	Base Stamp  `cbor:"2,keyasint"`
	// InForce requests the version in force instead of the latest one held.
	InForce bool `cbor:"3,keyasint,omitempty"`
}

// pullReply has a version, its manifest as a delta to Base if the peer still has the
// manifest of Base, and the first page of the new parts.
type pullReply struct {
	Version Version   `cbor:"1,keyasint"`
	Base    Stamp     `cbor:"2,keyasint"`
	Runs    []hashRun `cbor:"3,keyasint,omitempty"`
	Parts   [][]byte  `cbor:"4,keyasint,omitempty"`
}

// partsRequest requests parts by hash.
type partsRequest struct {
	Name   string `cbor:"1,keyasint"`
	Hashes []Hash `cbor:"2,keyasint"`
}

// partsReply has as many of the parts as fit into a page, in the order requested. It
// ends at the first part that the peer does not have.
type partsReply struct {
	Parts [][]byte `cbor:"1,keyasint"`
}

// statusRequest requests the conditions of a node, or of all nodes of a data centre.
type statusRequest struct{}

// statusReply has the conditions of all documents on a node.
type statusReply struct {
	Conditions []Condition   `cbor:"1,keyasint"`
	Uptime     time.Duration `cbor:"2,keyasint"`
}

// dataCentreStatusReply has the nodes of a data centre that the replying node, in the
// same data centre, could reach.
type dataCentreStatusReply struct {
	Nodes []NodeStatus `cbor:"1,keyasint"`
}
