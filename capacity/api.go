// Package capacity shares endpoints between nodes. Each pool of a data centre has one
// owner node, which queues requests, chooses endpoints and grants slots. See
// docs/design/capacity.md.
package capacity

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrShed means that the request lost its slot or its place in the queue to others
	// of its tier or above.
	ErrShed = errors.New("capacity: shed")
	// ErrDeadline means that the request could not be served before its deadline.
	ErrDeadline = errors.New("capacity: deadline can't be met")
	// ErrNoEndpoint means that the pool has no endpoint in service.
	ErrNoEndpoint = errors.New("capacity: no endpoint in service")
	// ErrQuarantined means that requests with this content have crashed endpoints
	// before.
	ErrQuarantined = errors.New("capacity: request quarantined")
)

// Refusal says why a request was refused and when it may be retried. It wraps one of
// the errors above.
type Refusal struct {
	Err        error
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return r.Err.Error() }

func (r *Refusal) Unwrap() error { return r.Err }

// Request asks for a slot at an endpoint.
type Request struct {
	// Name is the request's unique name, domain.RequestKey.String.
	Name         string                `cbor:"1,keyasint"`
	Pool         domain.PoolName       `cbor:"2,keyasint"`
	Organisation domain.OrganisationID `cbor:"3,keyasint"`
	Tier         domain.Tier           `cbor:"4,keyasint"`
	// PromptTokens and AnswerTokens are estimates of the work.
	PromptTokens int `cbor:"5,keyasint"`
	AnswerTokens int `cbor:"6,keyasint"`
	// Blocks are the hashes of the prompt's prefix blocks, the shortest prefix first.
	Blocks []uint64 `cbor:"7,keyasint,omitempty"`
	// BlockTokens are the tokens of each block; nil if all blocks have the default
	// length.
	BlockTokens []int `cbor:"12,keyasint,omitempty"`
	// Session groups the turns of a conversation.
	Session string `cbor:"8,keyasint,omitempty"`
	// FirstToken and Deadline are the time that was left when the request was sent. A
	// zero FirstToken means no first-token target.
	FirstToken time.Duration `cbor:"9,keyasint,omitempty"`
	Deadline   time.Duration `cbor:"10,keyasint"`
	// Fingerprint identifies the request's content across all keys and nodes, so that
	// content that crashes endpoints is recognised.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
}

// Result tells the owner how a grant was used.
type Result struct {
	// Dispatched is false if the grant was released unused.
	Dispatched bool `cbor:"1,keyasint"`
	// Complete is true if the answer was received completely.
	Complete bool `cbor:"2,keyasint"`
	// Crashed is true if the endpoint broke off the answer and it could not be resumed.
	Crashed bool `cbor:"3,keyasint"`
	// Unreachable is true if the endpoint refused the connection.
	Unreachable bool `cbor:"4,keyasint"`
	// FirstToken is the time from dispatch to the first token, Total the time to the
	// end.
	FirstToken time.Duration `cbor:"5,keyasint"`
	Total      time.Duration `cbor:"6,keyasint"`
	// PromptTokens and AnswerTokens are the counted values. CachedTokens is the part of
	// the prompt that the engine reported as taken from its prefix cache.
	PromptTokens int `cbor:"7,keyasint"`
	AnswerTokens int `cbor:"8,keyasint"`
	CachedTokens int `cbor:"9,keyasint"`
	// Replaced is true if another incarnation of the endpoint answers at its address,
	// so that this one will not come back.
	Replaced bool `cbor:"10,keyasint,omitempty"`
	// NotReached is true if this node got no sign of the endpoint, which may be sound: no connection, or a request that the
	// endpoint's host did not acknowledge. Unreachable is then true too.
	NotReached bool `cbor:"11,keyasint,omitempty"`
}

// Grant is a slot at an endpoint, held until Release.
type Grant interface {
	// Endpoint is the endpoint to dispatch to.
	Endpoint() domain.EndpointID
	// Revoked is closed when the owner takes the slot back for a higher tier. The
	// holder then cancels the request at the endpoint and releases the grant.
	Revoked() <-chan struct{}
	// Progress reports the number of answer tokens so far, from time to time. Zero
	// means that the request is now being dispatched; it should be reported because a
	// revocation before that loses no work.
	Progress(answerTokens int)
	// Release returns the slot. Calls after the first have no effect.
	Release(result Result)
}

// Client requests slots.
type Client interface {
	// Acquire waits for a slot. If there will be none it returns a *Refusal, as soon as
	// that is certain; if the context ends, it returns the context's error.
	Acquire(ctx context.Context, request Request) (Grant, error)
}
