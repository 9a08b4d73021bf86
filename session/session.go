package session

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Header is the HTTP header that carries the token in requests and responses.
const Header = "Hawthornrill-Session"

// Session is the payload of a token.
type Session struct {
	// ID is unique over all sessions.
	ID string `cbor:"1,keyasint"`
	// Organisation is the only organisation that may use the session.
	Organisation domain.OrganisationID `cbor:"2,keyasint"`
	// Home is the data centre that decides the request keys of the session.
	Home domain.DataCentre `cbor:"3,keyasint"`
	// Expires is in seconds since 1970.
	Expires int64 `cbor:"4,keyasint"`
}

func (s Session) ExpiresAt() time.Time { return time.Unix(s.Expires, 0) }
