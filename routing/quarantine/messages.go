package quarantine

import "hawthornrill.example/hawthornrill/peer"

const (
	methodReport peer.Method = "quarantine.report"
	methodPull   peer.Method = "quarantine.pull"
)

// maxMessageEvidence limits the number of evidence entries in one message.
const maxMessageEvidence = 256

// report distributes new evidence.
type report struct {
	Evidence []Evidence `cbor:"1,keyasint"`
	// Relay requests that the receiver forward the evidence within its data centre.
	Relay bool `cbor:"2,keyasint,omitempty"`
}

// pullRequest requests all evidence of a peer if its digest differs.
type pullRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// pullReply is empty if the digests are equal.
type pullReply struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
}
