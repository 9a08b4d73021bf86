package ledger

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// record is what a node stores for a key, as its home, as a witness or as the holder of
// its claim. It is kept small, because there is one for each request of the retention
// period.
type record struct {
	fingerprint Fingerprint
	claim       ClaimID
	attempt     uint64
	// since is when the record reached its state, as a timestamp of the record set.
	since    int64
	holder   uint32
	witness  uint32
	endpoint uint32
	state    State
	flags    recordFlags
}

// recordFlags are the boolean properties of a record.
type recordFlags uint8

const (
	// flagNodeScope marks a key of node scope, of which this incarnation is the only
	// home.
	flagNodeScope recordFlags = 1 << iota
	// flagTakenOver marks a commit whose first holder has ended: the present holder can't
	// withdraw the claim.
	flagTakenOver
	// flagMember marks a holder that was in the table when it got the claim: it has ended
	// once the table no longer has it.
	flagMember
	// flagPending marks a commit that is not yet held by two members.
	flagPending
	// flagForeign marks the copy that a holder keeps of a key whose home is in another
	// data centre, or is another incarnation for a key of node scope.
	flagForeign
)

// replicatedFlags are the flags sent to other members.
const replicatedFlags = flagTakenOver | flagMember

func (r record) has(f recordFlags) bool { return r.flags&f != 0 }

// tableScoped reports whether the key's home is determined by the table of this data
// centre.
func (r record) tableScoped() bool { return !r.has(flagNodeScope | flagForeign) }

// entry is the wire form of a record, with members and endpoints in full.
type entry struct {
	Key         KeyHash           `cbor:"1,keyasint"`
	Fingerprint Fingerprint       `cbor:"2,keyasint"`
	Claim       ClaimID           `cbor:"3,keyasint"`
	Attempt     uint64            `cbor:"4,keyasint"`
	State       State             `cbor:"5,keyasint"`
	Flags       recordFlags       `cbor:"6,keyasint,omitempty"`
	Holder      domain.Member     `cbor:"7,keyasint"`
	Endpoint    domain.EndpointID `cbor:"8,keyasint,omitempty"`
	// Age is the time since the record reached its state.
	Age time.Duration `cbor:"9,keyasint"`
}

// newer reports whether e is later in the key's history than claim and state. A later
// claim was granted only after the earlier one was certain not to be dispatched, or to
// take over its dispatch.
func (e entry) newer(claim ClaimID, state State) bool {
	if e.Claim != claim {
		return e.Claim > claim
	}
	return e.State > state
}
