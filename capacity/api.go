// Package capacity shares endpoints between nodes: one owner for each pool of a
// data centre queues asks, chooses endpoints and grants places. See
// docs/design/capacity.md.
package capacity

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrShed means that the ask lost its place to others of its tier or above.
	ErrShed = errors.New("capacity: shed")
	// ErrDeadline means that the ask could not be served in time.
	ErrDeadline = errors.New("capacity: deadline can't be met")
	// ErrNoEndpoint means that no endpoint of the pool is in service.
	ErrNoEndpoint = errors.New("capacity: no endpoint in service")
	// ErrQuarantined means that the request has crashed endpoints before.
	ErrQuarantined = errors.New("capacity: request quarantined")
)

// Refusal says why an ask was refused and when to come back. It wraps one of the
// errors above.
type Refusal struct {
	Err        error
	RetryAfter time.Duration
}

// Error returns the reason's text.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Err }

// Request is a request for a place at an endpoint.
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
	// BlockTokens are the tokens of each block; nil if all blocks have the usual length.
	BlockTokens []int `cbor:"12,keyasint,omitempty"`
	// Session groups the turns of a conversation.
	Session string `cbor:"8,keyasint,omitempty"`
	// FirstToken and Deadline are the time left when sent; zero FirstToken for none.
	FirstToken time.Duration `cbor:"9,keyasint,omitempty"`
	Deadline   time.Duration `cbor:"10,keyasint"`
	// Fingerprint identifies the request's content over all keys and nodes, to
	// recognise one that crashes endpoints.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
}

// Result tells the owner how a grant was used.
type Result struct {
	// Dispatched is false if the grant was given back unused.
	Dispatched bool `cbor:"1,keyasint"`
	// Complete is true if the answer was.
	Complete bool `cbor:"2,keyasint"`
	// Crashed is true if the endpoint broke off and could not be resumed.
	Crashed bool `cbor:"3,keyasint"`
	// Unreachable is true if the endpoint refused the connection.
	Unreachable bool `cbor:"4,keyasint"`
	// FirstToken is the time from dispatch to the first token, Total to the end.
	FirstToken time.Duration `cbor:"5,keyasint"`
	Total      time.Duration `cbor:"6,keyasint"`
	// PromptTokens and AnswerTokens are as counted; CachedTokens of the prompt were
	// not computed anew, as the engine reported.
	PromptTokens int `cbor:"7,keyasint"`
	AnswerTokens int `cbor:"8,keyasint"`
	CachedTokens int `cbor:"9,keyasint"`
	// Replaced is true if another life of the endpoint answers at its address: this one will not come back.
	Replaced bool `cbor:"10,keyasint,omitempty"`
}

// Grant is a place at an endpoint, held until Release.
type Grant interface {
	// Endpoint is the one to dispatch to.
	Endpoint() domain.EndpointID
	// Revoked is closed when the owner takes the place back for a higher tier; the
	// holder cancels at the endpoint and releases.
	Revoked() <-chan struct{}
	// Progress reports answer tokens so far, from time to time; zero says that the
	// request is now being dispatched. Until then a revocation loses no work, so
	// report it.
	Progress(answerTokens int)
	// Release gives the place back. Only the first call counts.
	Release(result Result)
}

// Client asks for places.
type Client interface {
	// Acquire waits for a place. It returns a *Refusal when there will be none, at
	// once when that is certain, or the context's error.
	Acquire(ctx context.Context, ask Request) (Grant, error)
}
