package document

import "errors"

var (
	// ErrNotAccepted means that the edit definitely has not taken effect and never
	// will. It wraps the cause.
	ErrNotAccepted = errors.New("document: not accepted")
	// ErrUnknownOutcome means that the edit may or may not have been accepted.
	// ResolveEdit determines which.
	ErrUnknownOutcome = errors.New("document: outcome unknown")
	// ErrUnknownName means that no document with that name is registered.
	ErrUnknownName = errors.New("document: unknown name")
	// ErrNoVersion means that the document has no such version.
	ErrNoVersion = errors.New("document: no such version")
	// ErrNotReady means that a required document has no version in force.
	ErrNotReady = errors.New("document: not ready")
	// ErrRejected means that ResolveEdit marked the edit as rejected while it was in
	// progress.
	ErrRejected = errors.New("document: edit marked as rejected")

	errCorrupt         = errors.New("document: content does not match its hash")
	errPartUnavailable = errors.New("document: peer no longer has a requested part")
	errConflict        = errors.New("document: head changed")
)
