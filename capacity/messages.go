package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// The methods between nodes. Durations on the wire are what was left when the
// message was sent.
const (
	methodAcquire  peer.Method = "capacity.ask"
	methodNotice   peer.Method = "capacity.notice"
	methodRelease  peer.Method = "capacity.release"
	methodRenew    peer.Method = "capacity.renew"
	methodList     peer.Method = "capacity.list"
	methodRegister peer.Method = "capacity.register"
	methodCollect  peer.Method = "capacity.collect"
	methodQuote    peer.Method = "capacity.quote"
	methodLeaving  peer.Method = "capacity.leaving"
)

// requestID identifies a request, and the grant that it becomes, within one incarnation
// of the node that made it.
type requestID uint64

// mode is the stage that a client has reached with a request.
type mode uint8

const (
	// modeInitial: no other data centre has been tried.
	modeInitial mode = iota
	// modeRemote: the request comes from another data centre and is accepted only if it
	// can be on time without revoking a grant.
	modeRemote
	// modeFinal: the other data centres have been tried; this owner is the last resort.
	modeFinal
	// modeUnservedLocally: the request's own data centre does not serve the pool; it is
	// treated like a request of this data centre.
	modeUnservedLocally
)

// decisionKind is an owner's decision on a request.
type decisionKind uint8

const (
	// decisionQueued: the request is queued.
	decisionQueued decisionKind = iota + 1
	// decisionGranted: the request holds a slot at Endpoint.
	decisionGranted
	// decisionSearch: the request is queued and would be late; the client tries the
	// other data centres and comes back with modeFinal.
	decisionSearch
	// decisionRefused: the request is no longer queued.
	decisionRefused
	// decisionNotOwner: this node is not the owner; Owner is, as far as it knows.
	decisionNotOwner
	// decisionRevoked: the grant is revoked.
	decisionRevoked
)

// reason is why a request was refused.
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

type acquireMessage struct {
	ID      requestID `cbor:"1,keyasint"`
	Request Request   `cbor:"2,keyasint"`
	Mode    mode      `cbor:"3,keyasint,omitempty"`
}

// decision is the owner's decision on one request.
type decision struct {
	ID         requestID         `cbor:"1,keyasint"`
	Kind       decisionKind      `cbor:"2,keyasint"`
	Endpoint   domain.EndpointID `cbor:"3,keyasint,omitempty"`
	Reason     reason            `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration     `cbor:"5,keyasint,omitempty"`
	// CanRevoke is true with decisionSearch if this owner could revoke a grant of a
	// lower tier.
	CanRevoke bool `cbor:"6,keyasint,omitempty"`
	// DeadlineAtRisk is true with decisionSearch if the deadline is at risk, not only
	// the first-token target.
	DeadlineAtRisk bool           `cbor:"7,keyasint,omitempty"`
	Owner          *domain.Member `cbor:"8,keyasint,omitempty"`
}

// notice carries decisions that are not replies.
type notice struct {
	Pool      domain.PoolName `cbor:"1,keyasint"`
	Decisions []decision      `cbor:"2,keyasint"`
}

type releaseMessage struct {
	Pool   domain.PoolName `cbor:"1,keyasint"`
	ID     requestID       `cbor:"2,keyasint"`
	Result *Result         `cbor:"3,keyasint,omitempty"`
}

// renewal summarises what one node holds at one owner.
type renewal struct {
	Pools []poolRenewal `cbor:"1,keyasint"`
}

// poolRenewal summarises what the node holds of a pool.
type poolRenewal struct {
	Pool     domain.PoolName `cbor:"1,keyasint"`
	Grants   digest          `cbor:"2,keyasint"`
	Requests digest          `cbor:"3,keyasint"`
	// Progress holds the changes since the last renewal, encoded by encodeProgress.
	Progress []byte `cbor:"4,keyasint,omitempty"`
}

// renewalReply names the pools whose digests differ from the owner's records, and those
// that it does not own.
type renewalReply struct {
	Differ     []domain.PoolName `cbor:"1,keyasint,omitempty"`
	Redirected []redirectedPool  `cbor:"2,keyasint,omitempty"`
}

type redirectedPool struct {
	Pool  domain.PoolName `cbor:"1,keyasint"`
	Owner domain.Member   `cbor:"2,keyasint"`
}

// listRequest lists everything that the node holds of a pool, encoded by encodeIDs.
type listRequest struct {
	Pool     domain.PoolName `cbor:"1,keyasint"`
	Grants   []byte          `cbor:"2,keyasint,omitempty"`
	Requests []byte          `cbor:"3,keyasint,omitempty"`
}

// listReply lists what the owner does not know.
type listReply struct {
	Unknown []byte `cbor:"1,keyasint,omitempty"`
}

// record describes one request or grant in full.
type record struct {
	ID      requestID `cbor:"1,keyasint"`
	Request Request   `cbor:"2,keyasint"`
	// Endpoint is empty while the request is queued.
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
	Decisions []decision     `cbor:"1,keyasint,omitempty"`
	Owner     *domain.Member `cbor:"2,keyasint,omitempty"`
}

// collectRequest is a new owner's query for what a node holds.
type collectRequest struct {
	DataCentre domain.DataCentre `cbor:"1,keyasint"`
	Pools      []domain.PoolName `cbor:"2,keyasint"`
}

type collectReply struct {
	Accounts []registerRequest `cbor:"1,keyasint,omitempty"`
	// ClaimsOwnership is true if the node believes itself to be the owner.
	ClaimsOwnership bool `cbor:"2,keyasint,omitempty"`
}

type quoteRequest struct {
	Request Request `cbor:"1,keyasint"`
}

// quote is an owner's forecast for a request that it does not hold.
type quote struct {
	// Wait is the estimated time until a slot is free.
	Wait       time.Duration `cbor:"1,keyasint,omitempty"`
	FirstToken time.Duration `cbor:"2,keyasint,omitempty"`
	Total      time.Duration `cbor:"3,keyasint,omitempty"`
	// CanRevoke is true if a grant of a lower tier could be revoked for the request.
	CanRevoke bool `cbor:"4,keyasint,omitempty"`
	// Refused is set if the owner would refuse the request.
	Refused reason `cbor:"5,keyasint,omitempty"`
	// WaitUnknown is true if the request would be queued for an unknown time.
	WaitUnknown bool `cbor:"6,keyasint,omitempty"`
	// Owner is set if the queried node is not the owner.
	Owner *domain.Member `cbor:"7,keyasint,omitempty"`
}

// leavingMessage marks an endpoint as leaving on the sender's behalf, or removes the
// mark.
type leavingMessage struct {
	Endpoint domain.EndpointID `cbor:"1,keyasint"`
	Leaving  bool              `cbor:"2,keyasint"`
}
