package ledger

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// record is what a node knows of a key, as its home, as a witness or as the
// holder of its claim. It is kept small: there is one for each request of the
// retention window.
type record struct {
	fingerprint Fingerprint
	claim       ClaimID
	attempt     uint64
	// since is when the record reached its state, in nanoseconds of the book's own clock.
	since    int64
	holder   uint32
	witness  uint32
	endpoint uint32
	state    State
	flags    recordFlags
}

// recordFlags are a record's yes-or-no properties.
type recordFlags uint8

const (
	// flagNodeScope marks a key that this life alone decides about.
	flagNodeScope recordFlags = 1 << iota
	// flagTakenOver marks a commit whose first holder is gone: the claim can't be
	// withdrawn by the one that has it now.
	flagTakenOver
	// flagMember marks a holder that was in the table when it got the claim: it is
	// gone when it is no longer there.
	flagMember
	// flagPending marks a commit that is not yet held by two members.
	flagPending
	// flagForeign marks the copy that a holder keeps of a key that another data
	// centre, or another life, decides about.
	flagForeign
)

// durableFlags are those that go to other members.
const durableFlags = flagTakenOver | flagMember

// has reports whether a flag is set.
func (r record) has(f recordFlags) bool { return r.flags&f != 0 }

// tabled reports whether the table of this data centre says who decides about the
// key.
func (r record) tabled() bool { return !r.has(flagNodeScope | flagForeign) }

// entry is a record with its names spelt out, as it goes over the wire.
type entry struct {
	Key         KeyHash           `cbor:"1,keyasint"`
	Fingerprint Fingerprint       `cbor:"2,keyasint"`
	Claim       ClaimID           `cbor:"3,keyasint"`
	Attempt     uint64            `cbor:"4,keyasint"`
	State       State             `cbor:"5,keyasint"`
	Flags       recordFlags       `cbor:"6,keyasint,omitempty"`
	Holder      domain.Member     `cbor:"7,keyasint"`
	Endpoint    domain.EndpointID `cbor:"8,keyasint,omitempty"`
	// Age is how long ago the record reached its state.
	Age time.Duration `cbor:"9,keyasint"`
}

// newer reports whether e tells more of the key than claim and state do. A later
// claim was given only after the earlier one was certain not to be dispatched, or
// to take over what it dispatched.
func (e entry) newer(claim ClaimID, state State) bool {
	if e.Claim != claim {
		return e.Claim > claim
	}
	return e.State > state
}
