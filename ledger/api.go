// Package ledger makes sure that a request is dispatched to an endpoint at most
// once, whatever node an attempt of it reaches. See docs/design/at-most-once.md.
package ledger

import (
	"context"
	"errors"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrUnknown means that the home can't be reached or can't tell whether the key
	// has been dispatched before. The caller must be told domain.OutcomeUnknown.
	ErrUnknown = errors.New("ledger: history of the key is unknown")
	// ErrFingerprintMismatch means that the key was used before with another request.
	ErrFingerprintMismatch = errors.New("ledger: key reused with another request")
	// ErrFull means that the home holds as many keys as it may. The key is new and
	// was not run.
	ErrFull = errors.New("ledger: too many keys held")
	// ErrRevoked means that the claim is no longer valid: the request must not be
	// dispatched by this attempt. Another attempt may have dispatched it; a new
	// Claim tells.
	ErrRevoked = errors.New("ledger: claim revoked")
	// ErrNotFound means that the home knows nothing of the key.
	ErrNotFound = errors.New("ledger: key not found")
)

// ClaimID names one claim; for one key a later claim has a greater one, also from
// a later home.
type ClaimID uint64

// Fingerprint is a hash of what was asked, to notice a key used twice.
type Fingerprint [16]byte

// Verdict is what the home says of a claim.
type Verdict uint8

const (
	// VerdictGranted: this attempt holds the claim and may go on to commit.
	VerdictGranted Verdict = iota + 1
	// VerdictAttached: another attempt holds the claim or has dispatched; its answer
	// is read from Holder.
	VerdictAttached
	// VerdictFinished: the answer is complete and held by Holder.
	VerdictFinished
	// VerdictTakeover: the request was dispatched to Endpoint by a life that is
	// gone; this attempt may resume the stream there, and must not dispatch.
	VerdictTakeover
	// VerdictRan: the request was dispatched and its answer is no longer held.
	VerdictRan
)

// Claim is the home's reply to an attempt.
type Claim struct {
	Key      domain.RequestKey
	ID       ClaimID
	Verdict  Verdict
	Holder   domain.Member
	Endpoint domain.EndpointID
}

// State is where a key stands.
type State uint8

const (
	// StateClaimed: an attempt holds the claim; nothing has been dispatched.
	StateClaimed State = iota + 1
	// StateCommitted: dispatched, or about to be.
	StateCommitted
	// StateFinished: the answer is complete.
	StateFinished
	// StateFailed: dispatched, and the answer will never be complete.
	StateFailed
)

// Ledger is what the scheduler uses. Implementations are safe for concurrent use.
type Ledger interface {
	// Claim asks the key's home for the right to run the request. It returns
	// ErrUnknown, ErrFingerprintMismatch or ErrFull instead of a claim.
	Claim(ctx context.Context, key domain.RequestKey, fingerprint Fingerprint) (Claim, error)
	// Commit records that the request is about to be dispatched to the endpoint.
	// After a nil error, and only then, the holder of the claim may dispatch, once.
	// After ErrRevoked nothing was and nothing will be dispatched by this claim.
	// After any other error the outcome is unknown and nothing may be dispatched.
	Commit(ctx context.Context, claim Claim, endpoint domain.EndpointID) error
	// Release gives the claim up, before a commit or after one that was not followed
	// by a dispatch. After a nil error the request has not been run, by this claim
	// or any other that was given before, and never will be by one of them.
	Release(ctx context.Context, claim Claim) error
	// Finish records how a committed request ended: complete, or not. ErrRevoked
	// means that another attempt has taken the request over.
	Finish(ctx context.Context, claim Claim, complete bool) error
	// Lookup tells where the key stands, or ErrNotFound or ErrUnknown.
	Lookup(ctx context.Context, key domain.RequestKey) (State, Claim, error)
}
