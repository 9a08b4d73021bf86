// Package ledger ensures that a request is dispatched to an endpoint at most once,
// whichever node an attempt of it reaches. See docs/design/at-most-once.md.
package ledger

import (
	"context"
	"errors"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrUnknown means that the home can't be reached or can't tell whether the key has
	// been dispatched before. The caller must be given domain.OutcomeUnknown.
	ErrUnknown = errors.New("ledger: key history unknown")
	// ErrFingerprintMismatch means that the key was used before with another request.
	ErrFingerprintMismatch = errors.New("ledger: key reused with a different request")
	// ErrFull means that the home holds its maximum number of keys. The key is new and
	// was not run.
	ErrFull = errors.New("ledger: record limit reached")
	// ErrRevoked means that the claim is no longer valid: the request must not be
	// dispatched by this attempt. Another attempt may have dispatched it, which a new
	// Claim finds out.
	ErrRevoked = errors.New("ledger: claim revoked")
	// ErrNotFound means that the home has no record of the key.
	ErrNotFound = errors.New("ledger: key not found")
)

// ClaimID identifies a claim. For one key, a later claim has a greater ID, also after a
// change of home.
type ClaimID uint64

// Fingerprint is a hash of the request, to detect a key that is reused with another
// request.
type Fingerprint [16]byte

// Verdict is the home's decision on a claim.
type Verdict uint8

const (
	// VerdictGranted: this attempt holds the claim and may go on to commit.
	VerdictGranted Verdict = iota + 1
	// VerdictAttached: another attempt holds the claim or has dispatched; the answer is
	// read from Holder.
	VerdictAttached
	// VerdictFinished: the answer is complete and held by Holder.
	VerdictFinished
	// VerdictTakeover: the request was dispatched to Endpoint by an incarnation that is
	// no longer running; this attempt may resume the stream there, and must not dispatch.
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

// State is the state of a key's record.
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

// Ledger is the interface that the scheduler uses. Implementations are safe for
// concurrent use.
type Ledger interface {
	// Claim requests the right to run the request from the key's home. It returns
	// ErrUnknown, ErrFingerprintMismatch or ErrFull instead of a claim.
	Claim(ctx context.Context, key domain.RequestKey, fingerprint Fingerprint) (Claim, error)
	// Commit records that the request is about to be dispatched to the endpoint. After
	// a nil error, and only then, the holder of the claim may dispatch, once. After
	// ErrRevoked this claim has not led to a dispatch and never will. After any other
	// error the outcome is unknown and nothing may be dispatched.
	Commit(ctx context.Context, claim Claim, endpoint domain.EndpointID) error
	// Release gives the claim up, before a commit or after one that was not followed by
	// a dispatch. After a nil error the request has not been run under this claim or
	// any earlier one, and never will be.
	Release(ctx context.Context, claim Claim) error
	// Finish records how a committed request ended: complete or not. ErrRevoked means
	// that another attempt has taken the request over.
	Finish(ctx context.Context, claim Claim, complete bool) error
	// Lookup returns the state of the key, or ErrNotFound or ErrUnknown.
	Lookup(ctx context.Context, key domain.RequestKey) (State, Claim, error)
}
