// Package session issues and checks the tokens by which a caller keeps a
// conversation together over nodes, restarts and reconnects. A token names the
// session, its organisation and the home data centre in which the session's
// request keys are decided; no node keeps a record of it.
package session

import "errors"

var (
	// ErrMalformed means that the text is not a token.
	ErrMalformed = errors.New("session: not a session token")
	// ErrInvalidSignature means that no secret in use made the token.
	ErrInvalidSignature = errors.New("session: token was not issued here")
	// ErrExpired means that the token is too old.
	ErrExpired = errors.New("session: token has expired")
	// ErrWrongOrganisation means that the token belongs to another organisation.
	ErrWrongOrganisation = errors.New("session: token of another organisation")
	// ErrInvalidSecret means that there is no secret, or one that is too short.
	ErrInvalidSecret = errors.New("session: secrets must have at least 32 bytes")
)
