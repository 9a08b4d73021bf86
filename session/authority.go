package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// DefaultLifetime is how long a session may be used.
	DefaultLifetime = 24 * time.Hour
	// MinSecretBytes is the shortest secret accepted.
	MinSecretBytes = 32
	// MaxTokenBytes bounds the text that Verify looks at.
	MaxTokenBytes = 1024
	// clockSkew is how far the clocks of two nodes may lie apart.
	clockSkew = 5 * time.Minute

	prefix = "hrs1."
)

var encoding = base64.RawURLEncoding

// Authority issues and verifies tokens, authenticated with HMAC-SHA256. All
// nodes share the secrets. Expiry is the one thing that goes by the wall clock:
// it decides only whether a session may go on being used, never whether a
// request was run.
type Authority struct {
	secrets  [][]byte
	lifetime time.Duration
}

// NewAuthority returns an authority that signs with the first secret and accepts
// tokens made with any, so that secrets can be changed without ending sessions:
// add the new one at the end everywhere, move it to the front everywhere, then
// drop the old one after a lifetime. A zero lifetime means DefaultLifetime. It
// returns ErrInvalidSecret.
func NewAuthority(secrets [][]byte, lifetime time.Duration) (*Authority, error) {
	if len(secrets) == 0 {
		return nil, ErrInvalidSecret
	}
	for _, secret := range secrets {
		if len(secret) < MinSecretBytes {
			return nil, ErrInvalidSecret
		}
	}
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	return &Authority{secrets: secrets, lifetime: lifetime}, nil
}

// Issue starts a session and returns its token.
func (a *Authority) Issue(home domain.DataCentre, organisation domain.OrganisationID, now time.Time) (Session, string, error) {
	session := Session{
		ID:           uuid.NewString(),
		Organisation: organisation,
		Home:         home,
		Expires:      now.Add(a.lifetime).Unix(),
	}
	payload, err := cbor.Marshal(session)
	if err != nil {
		return Session{}, "", fmt.Errorf("session: encode: %w", err)
	}
	mac := sign(a.secrets[0], payload)
	return session, prefix + encoding.EncodeToString(payload) + "." + encoding.EncodeToString(mac), nil
}

// Verify returns what the token says if it was issued with one of the secrets,
// has not expired and belongs to the organisation; else ErrMalformed, ErrInvalidSignature,
// ErrExpired or ErrWrongOrganisation.
func (a *Authority) Verify(token string, organisation domain.OrganisationID, now time.Time) (Session, error) {
	payload, mac, err := split(token)
	if err != nil {
		return Session{}, err
	}
	if !a.genuine(payload, mac) {
		return Session{}, ErrInvalidSignature
	}
	var session Session
	if err := cbor.Unmarshal(payload, &session); err != nil {
		return Session{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if session.Organisation != organisation {
		return Session{}, ErrWrongOrganisation
	}
	if now.After(session.ExpiresAt().Add(clockSkew)) {
		return Session{}, ErrExpired
	}
	return session, nil
}

func (a *Authority) genuine(payload, mac []byte) bool {
	for _, secret := range a.secrets {
		if hmac.Equal(mac, sign(secret, payload)) {
			return true
		}
	}
	return false
}

func split(token string) (payload, mac []byte, err error) {
	rest, ok := strings.CutPrefix(token, prefix)
	if !ok || len(token) > MaxTokenBytes {
		return nil, nil, ErrMalformed
	}
	first, second, ok := strings.Cut(rest, ".")
	if !ok {
		return nil, nil, ErrMalformed
	}
	if payload, err = encoding.DecodeString(first); err != nil {
		return nil, nil, ErrMalformed
	}
	if mac, err = encoding.DecodeString(second); err != nil {
		return nil, nil, ErrMalformed
	}
	return payload, mac, nil
}

func sign(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(prefix))
	mac.Write(payload)
	return mac.Sum(nil)
}
