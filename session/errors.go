// Package session issues and verifies session tokens, by which a caller continues a
// conversation over nodes, restarts and reconnects. A token contains the session,
// its organisation and the home data centre, which decides the request keys of the
// session; no node stores sessions.
package session

import "errors"

var (
	// ErrMalformed means that the text is not a session token.
	ErrMalformed = errors.New("session: not a session token")
	// ErrInvalidSignature means that the token was not signed with any configured
	// secret.
	ErrInvalidSignature = errors.New("session: token was not issued here")
	// ErrExpired means that the token expired longer ago than the tolerated clock skew.
	ErrExpired = errors.New("session: token has expired")
	// ErrWrongOrganisation means that the token was issued to another organisation.
	ErrWrongOrganisation = errors.New("session: token of another organisation")
	// ErrInvalidSecret means that there is no secret, or that one is too short.
	ErrInvalidSecret = errors.New("session: secrets must have at least 32 bytes")
)
