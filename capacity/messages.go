package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// The methods between nodes. Durations on the wire are what was left when the
// message was sent.
const (
	methodAsk      peer.Method = "capacity.ask"
	methodNotice   peer.Method = "capacity.notice"
	methodRelease  peer.Method = "capacity.release"
	methodRenew    peer.Method = "capacity.renew"
	methodList     peer.Method = "capacity.list"
	methodRegister peer.Method = "capacity.register"
	methodCollect  peer.Method = "capacity.collect"
	methodQuote    peer.Method = "capacity.quote"
	methodLeaving  peer.Method = "capacity.leaving"
)

// askID names an ask, and the grant that it becomes, within one life of the node
// that made it.
type askID uint64

// mode tells how far a client has got with an ask.
type mode uint8

const (
	// modeFirst: no other data centre has been asked.
	modeFirst mode = iota
	// modeVisit: the ask comes from another data centre and is taken only if it
	// can be on time without revoking a grant.
	modeVisit
	// modeLast: the others have been asked; it is this owner or nobody.
	modeLast
	// modeHomeless: the ask's own data centre does not serve the pool; it is served
	// like an ask of this one.
	modeHomeless
)

// verdict is an owner's word about an ask.
type verdict uint8

const (
	// verdictQueued: the ask waits.
	verdictQueued verdict = iota + 1
	// verdictGranted: the ask holds a place at Endpoint.
	verdictGranted
	// verdictSeek: the ask waits, and would be late; the client asks the other data
	// centres and comes back with modeLast.
	verdictSeek
	// verdictRefused: the ask does not wait any more.
	verdictRefused
	// verdictMoved: this node is not the owner; Owner is, as far as it knows.
	verdictMoved
	// verdictRevoked: the grant is taken back.
	verdictRevoked
)

// reason is why an ask was refused.
type reason uint8

const (
	reasonShed reason = iota + 1
	reasonDeadline
	reasonNoEndpoint
	reasonQuarantined
)

// Err returns the package's error for the reason.
func (r reason) Err() error {
	switch r {
	case reasonDeadline:
		return ErrDeadline
	case reasonNoEndpoint:
		return ErrNoEndpoint
	case reasonQuarantined:
		return ErrQuarantined
	default:
		return ErrShed
	}
}

type askRequest struct {
	ID   askID   `cbor:"1,keyasint"`
	Ask  Request `cbor:"2,keyasint"`
	Mode mode    `cbor:"3,keyasint,omitempty"`
}

// ruling is the owner's word about one ask.
type ruling struct {
	ID         askID             `cbor:"1,keyasint"`
	Verdict    verdict           `cbor:"2,keyasint"`
	Endpoint   domain.EndpointID `cbor:"3,keyasint,omitempty"`
	Reason     reason            `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration     `cbor:"5,keyasint,omitempty"`
	// Lower is true with verdictSeek if this owner could revoke a lower tier.
	Lower bool `cbor:"6,keyasint,omitempty"`
	// Late is true with verdictSeek if the deadline is at risk, not only the aim
	// for the first token.
	Late  bool           `cbor:"7,keyasint,omitempty"`
	Owner *domain.Member `cbor:"8,keyasint,omitempty"`
}

// notice carries rulings that are not replies.
type notice struct {
	Pool    domain.PoolName `cbor:"1,keyasint"`
	Rulings []ruling        `cbor:"2,keyasint"`
}

type releaseMessage struct {
	Pool   domain.PoolName `cbor:"1,keyasint"`
	ID     askID           `cbor:"2,keyasint"`
	Result *Result         `cbor:"3,keyasint,omitempty"`
}

// renewal is one node's account with one owner.
type renewal struct {
	Pools []poolRenewal `cbor:"1,keyasint"`
}

// poolRenewal sums up what the node holds of a pool. The digests are the
// exclusive or of the mixed identifiers.
type poolRenewal struct {
	Pool   domain.PoolName `cbor:"1,keyasint"`
	Grants digest          `cbor:"2,keyasint"`
	Asks   digest          `cbor:"3,keyasint"`
	// Progress holds the changes since the last renewal, see progressList.
	Progress []byte `cbor:"4,keyasint,omitempty"`
}

// renewalReply names the pools whose digests differ from the owner's account,
// and those that it does not own.
type renewalReply struct {
	Differ []domain.PoolName `cbor:"1,keyasint,omitempty"`
	Moved  []movedPool       `cbor:"2,keyasint,omitempty"`
}

type movedPool struct {
	Pool  domain.PoolName `cbor:"1,keyasint"`
	Owner domain.Member   `cbor:"2,keyasint"`
}

// listRequest names everything that the node holds of a pool, see idList.
type listRequest struct {
	Pool   domain.PoolName `cbor:"1,keyasint"`
	Grants []byte          `cbor:"2,keyasint,omitempty"`
	Asks   []byte          `cbor:"3,keyasint,omitempty"`
}

// listReply names what the owner does not know.
type listReply struct {
	Unknown []byte `cbor:"1,keyasint,omitempty"`
}

// record describes one ask or grant in full.
type record struct {
	ID  askID   `cbor:"1,keyasint"`
	Ask Request `cbor:"2,keyasint"`
	// Endpoint is empty while the ask waits.
	Endpoint domain.EndpointID `cbor:"3,keyasint,omitempty"`
	Progress progressCode      `cbor:"4,keyasint,omitempty"`
	// Held is the time since the grant.
	Held time.Duration `cbor:"5,keyasint,omitempty"`
	Mode mode          `cbor:"6,keyasint,omitempty"`
}

type registerRequest struct {
	Pool    domain.PoolName `cbor:"1,keyasint"`
	Records []record        `cbor:"2,keyasint"`
}

type registerReply struct {
	Rulings []ruling       `cbor:"1,keyasint,omitempty"`
	Owner   *domain.Member `cbor:"2,keyasint,omitempty"`
}

// collectRequest is a new owner's question for what a node holds.
type collectRequest struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint"`
	Pools      []domain.PoolName `cbor:"2,keyasint"`
}

type collectReply struct {
	Accounts []registerRequest `cbor:"1,keyasint,omitempty"`
	// Elsewhere is true if the node takes itself for the owner.
	Elsewhere bool `cbor:"2,keyasint,omitempty"`
}

type quoteRequest struct {
	Ask Request `cbor:"1,keyasint"`
}

// quote is what an owner expects for an ask that it does not hold.
type quote struct {
	// Wait is the estimated time until a place is free.
	Wait       time.Duration `cbor:"1,keyasint,omitempty"`
	FirstToken time.Duration `cbor:"2,keyasint,omitempty"`
	Total      time.Duration `cbor:"3,keyasint,omitempty"`
	// Lower is true if a grant of a lower tier could be revoked for it.
	Lower bool `cbor:"4,keyasint,omitempty"`
	// Refused is set if the owner would not take it at all.
	Refused reason `cbor:"5,keyasint,omitempty"`
	// Unknown is true if the ask would wait and nothing tells how long.
	Unknown bool `cbor:"6,keyasint,omitempty"`
	// Owner is set if the node asked is not the owner.
	Owner *domain.Member `cbor:"7,keyasint,omitempty"`
}

// leavingMessage marks an endpoint, or removes the mark, in the sender's name.
type leavingMessage struct {
	Endpoint domain.EndpointID `cbor:"1,keyasint"`
	Leaving  bool              `cbor:"2,keyasint"`
}
