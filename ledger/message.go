package ledger

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Methods of the ledger's messages. All are calls.
const (
	methodClaim   peer.Method = "ledger.claim"
	methodCommit  peer.Method = "ledger.commit"
	methodMirror  peer.Method = "ledger.mirror"
	methodFinish  peer.Method = "ledger.finish"
	methodRelease peer.Method = "ledger.release"
	methodLookup  peer.Method = "ledger.lookup"
	methodCollect peer.Method = "ledger.collect"
	methodTable   peer.Method = "ledger.table"
	methodSettled peer.Method = "ledger.settled"
	methodHolds   peer.Method = "ledger.holds"
	methodConfirm peer.Method = "ledger.confirm"
)

// status is the first part of every reply.
type status uint8

const (
	statusOK status = iota + 1
	// statusStale: the receiver's epoch is another one, or it is not the home.
	statusStale
	// statusRecovering: the home does not know all of the key's history yet.
	statusRecovering
	// statusUnknown: the key's history is lost.
	statusUnknown
	statusFingerprint
	statusFull
	statusRevoked
	statusNotFound
	// statusUnheld: no second member could be had.
	statusUnheld
)

// claimRequest asks for the right to run a request. Epoch is zero for keys of
// node scope, here and below.
type claimRequest struct {
	Key         KeyHash     `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	// Attempt is unique in the sender's life; a repeated one gets the same claim.
	Attempt uint64 `cbor:"3,keyasint"`
	Epoch   uint64 `cbor:"4,keyasint,omitempty"`
}

type claimReply struct {
	Status  status  `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint,omitempty"`
	Claim   ClaimID `cbor:"3,keyasint,omitempty"`
	Verdict Verdict `cbor:"4,keyasint,omitempty"`
	// Holder is nil if it is the asker.
	Holder   *domain.Member    `cbor:"5,keyasint,omitempty"`
	Endpoint domain.EndpointID `cbor:"6,keyasint,omitempty"`
}

type commitRequest struct {
	Key      KeyHash           `cbor:"1,keyasint"`
	Claim    ClaimID           `cbor:"2,keyasint"`
	Endpoint domain.EndpointID `cbor:"3,keyasint"`
	Epoch    uint64            `cbor:"4,keyasint,omitempty"`
	// Copied tells that the sender holds the second copy already.
	Copied bool `cbor:"5,keyasint,omitempty"`
}

// endRequest is a finish or a release.
type endRequest struct {
	Key      KeyHash `cbor:"1,keyasint"`
	Claim    ClaimID `cbor:"2,keyasint"`
	Epoch    uint64  `cbor:"3,keyasint,omitempty"`
	Complete bool    `cbor:"4,keyasint,omitempty"`
}

// statusReply answers what has no other result.
type statusReply struct {
	Status status `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint,omitempty"`
}

type lookupRequest struct {
	Key   KeyHash `cbor:"1,keyasint"`
	Epoch uint64  `cbor:"2,keyasint,omitempty"`
}

type lookupReply struct {
	Status status `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint,omitempty"`
	Entry  *entry `cbor:"3,keyasint,omitempty"`
}

// mirrorRequest gives the receiver copies to hold.
type mirrorRequest struct {
	Epoch   uint64  `cbor:"1,keyasint"`
	Entries []entry `cbor:"2,keyasint"`
}

// collectRequest asks for the records of the keys whose home is the sender.
type collectRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// After is the Next of the page before; the first page has none.
	After *KeyHash `cbor:"2,keyasint,omitempty"`
}

type collectReply struct {
	Status  status  `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint,omitempty"`
	Entries []entry `cbor:"3,keyasint,omitempty"`
	// Next is set if there are more pages.
	Next *KeyHash `cbor:"4,keyasint,omitempty"`
}

// tableRequest asks for the receiver's table.
type tableRequest struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint"`
}

type tableReply struct {
	Table *Table `cbor:"1,keyasint,omitempty"`
}

// settledRequest tells the table's first member that the sender holds, and has
// seen held twice, all records of its keys in the epoch.
type settledRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// holdsRequest asks whether the receiver still means to use a claim.
type holdsRequest struct {
	Key   KeyHash `cbor:"1,keyasint"`
	Claim ClaimID `cbor:"2,keyasint"`
	// Attempt is that of the claim.
	Attempt uint64 `cbor:"3,keyasint"`
}

// holdsReply tells what the receiver remembers of its claim. State is zero if it
// remembers nothing; then it has not committed the claim in the retention window
// and never will.
type holdsReply struct {
	State State `cbor:"1,keyasint"`
}

// confirmRequest asks whether the receiver has the same epoch.
type confirmRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}
