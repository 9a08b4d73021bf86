package session

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Header is the HTTP header that carries the token, both ways.
const Header = "Hawthornrill-Session"

// Session is what a token says.
type Session struct {
	// ID is unique.
	ID string `cbor:"1,keyasint"`
	// Organisation is the only one that may use the session.
	Organisation domain.OrganisationID `cbor:"2,keyasint"`
	// Home is the data centre that decides the session's request keys.
	Home domain.DataCentre `cbor:"3,keyasint"`
	// Expires is in seconds since 1970.
	Expires int64 `cbor:"4,keyasint"`
}

// ExpiresAt returns the expiry as a time.
func (s Session) ExpiresAt() time.Time { return time.Unix(s.Expires, 0) }
