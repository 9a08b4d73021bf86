package quarantine

import "hawthornrill.example/hawthornrill/peer"

const (
	methodReport peer.Method = "quarantine.report"
	methodPull   peer.Method = "quarantine.pull"
)

// maxEvidence bounds the evidence in one message.
const maxEvidence = 256

// report spreads new evidence.
type report struct {
	Evidence []Evidence `cbor:"1,keyasint"`
	// Relay asks the receiver to pass it on within its data centre.
	Relay bool `cbor:"2,keyasint,omitempty"`
}

// pullRequest asks for all evidence of a peer that holds other evidence.
type pullRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// pullReply is empty if both hold the same.
type pullReply struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
}
