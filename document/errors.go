package document

import "errors"

var (
	// ErrNotAccepted means that the edit certainly has had no effect and will have
	// none. It wraps the reason.
	ErrNotAccepted = errors.New("document: not accepted")
	// ErrUnknownOutcome means that the edit may or may not have been accepted;
	// Settle finds out.
	ErrUnknownOutcome = errors.New("document: outcome unknown")
	// ErrUnknownName means that no document of that name is registered.
	ErrUnknownName = errors.New("document: unknown name")
	// ErrNoVersion means that the document has no such version.
	ErrNoVersion = errors.New("document: no such version")
	// ErrNotReady means that a required document has no version in force.
	ErrNotReady = errors.New("document: not ready")
	// ErrRejected means that the edit was settled as not accepted while it ran.
	ErrRejected = errors.New("document: edit was given up")

	errCorrupt  = errors.New("document: content does not match its hash")
	errGone     = errors.New("document: peer no longer has the content")
	errConflict = errors.New("document: head changed")
)
