package ledger

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Methods of the ledger's messages. All but updates of witnesses are calls.
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

// status is the first field of every reply.
type status uint8

const (
	statusOK status = iota + 1
	// statusStale: the receiver is in another epoch, or it is not the home.
	statusStale
	// statusRecovering: the home does not have all of the key's history yet.
	statusRecovering
	// statusUnknown: the key's history is lost.
	statusUnknown
	statusFingerprint
	statusFull
	statusRevoked
	statusNotFound
	// statusTooFewMembers: no second member stored or confirmed it, or the home is
	// fenced.
	statusTooFewMembers
)

// claimRequest requests the right to run a request. In all requests, Epoch is zero for
// keys of node scope.
type claimRequest struct {
	Key         KeyHash     `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	// Attempt is unique within the sender's incarnation; a repeated one gets the same
	// claim.
	Attempt uint64 `cbor:"3,keyasint"`
	Epoch   uint64 `cbor:"4,keyasint,omitempty"`
}

type claimReply struct {
	Status  status  `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint,omitempty"`
	Claim   ClaimID `cbor:"3,keyasint,omitempty"`
	Verdict Verdict `cbor:"4,keyasint,omitempty"`
	// Holder is nil if it is the sender of the request.
	Holder   *domain.Member    `cbor:"5,keyasint,omitempty"`
	Endpoint domain.EndpointID `cbor:"6,keyasint,omitempty"`
}

type commitRequest struct {
	Key      KeyHash           `cbor:"1,keyasint"`
	Claim    ClaimID           `cbor:"2,keyasint"`
	Endpoint domain.EndpointID `cbor:"3,keyasint"`
	Epoch    uint64            `cbor:"4,keyasint,omitempty"`
	// Copied is set if the sender already holds the second copy.
	Copied bool `cbor:"5,keyasint,omitempty"`
}

// endRequest is a finish or a release.
type endRequest struct {
	Key      KeyHash `cbor:"1,keyasint"`
	Claim    ClaimID `cbor:"2,keyasint"`
	Epoch    uint64  `cbor:"3,keyasint,omitempty"`
	Complete bool    `cbor:"4,keyasint,omitempty"`
}

// statusReply is the reply to requests without another result.
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

// mirrorRequest sends the receiver copies to store.
type mirrorRequest struct {
	Epoch   uint64  `cbor:"1,keyasint"`
	Entries []entry `cbor:"2,keyasint"`
}

// collectRequest requests the records of the keys whose home is the sender.
type collectRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// After is the Next of the previous page, nil for the first page.
	After *KeyHash `cbor:"2,keyasint,omitempty"`
}

type collectReply struct {
	Status  status  `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint,omitempty"`
	Entries []entry `cbor:"3,keyasint,omitempty"`
	// Next is set if there are more pages.
	Next *KeyHash `cbor:"4,keyasint,omitempty"`
}

// tableRequest requests the receiver's table.
type tableRequest struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint"`
}

type tableReply struct {
	Table *Table `cbor:"1,keyasint,omitempty"`
}

// settledRequest notifies the member that counts settlements that the sender has all
// records of its keys in the epoch, and that a second member holds each of them.
type settledRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// holdsRequest queries whether the receiver still intends to use a claim.
type holdsRequest struct {
	Key   KeyHash `cbor:"1,keyasint"`
	Claim ClaimID `cbor:"2,keyasint"`
	// Attempt is the attempt that the claim was granted to.
	Attempt uint64 `cbor:"3,keyasint"`
}

// holdsReply carries the receiver's state of its claim. State is zero if it has none;
// then it has not committed the claim within the retention period and never will.
type holdsReply struct {
	State State `cbor:"1,keyasint"`
}

// confirmRequest queries whether the receiver is in the same epoch.
type confirmRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}
