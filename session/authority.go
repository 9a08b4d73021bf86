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
	// DefaultLifetime is how long a session is valid.
	DefaultLifetime = 24 * time.Hour
	// MinSecretBytes is the minimum length of a secret.
	MinSecretBytes = 32
	// MaxTokenBytes is the maximum length of a token that Verify decodes.
	MaxTokenBytes = 1024
	// clockSkew is the tolerated difference between the clocks of two nodes.
	clockSkew = 5 * time.Minute

	tokenPrefix = "hrs1."
)

var encoding = base64.RawURLEncoding

// Authority issues and verifies tokens, authenticated with HMAC-SHA256. All nodes
// share the secrets. Only expiry depends on the wall clock: it decides whether a
// session may still be used, never whether a request was run.
type Authority struct {
	secrets  [][]byte
	lifetime time.Duration
}

// NewAuthority returns an authority that signs with the first secret and accepts
// tokens signed with any, so that secrets can be rotated without ending sessions:
// append the new secret on all nodes, move it to the front on all nodes, and remove
// the old one after a lifetime. A zero lifetime means DefaultLifetime. NewAuthority
// returns ErrInvalidSecret if a secret is too short or there is none.
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

// Issue creates a session and returns it with its token.
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
	return session, tokenPrefix + encoding.EncodeToString(payload) + "." + encoding.EncodeToString(mac), nil
}

// Verify returns the session of the token if the token is signed with one of the
// secrets, has not expired and belongs to the organisation; otherwise it returns
// ErrMalformed, ErrInvalidSignature, ErrWrongOrganisation or ErrExpired.
func (a *Authority) Verify(token string, organisation domain.OrganisationID, now time.Time) (Session, error) {
	payload, mac, err := splitToken(token)
	if err != nil {
		return Session{}, err
	}
	if !a.validMAC(payload, mac) {
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

func (a *Authority) validMAC(payload, mac []byte) bool {
	for _, secret := range a.secrets {
		if hmac.Equal(mac, sign(secret, payload)) {
			return true
		}
	}
	return false
}

func splitToken(token string) (payload, mac []byte, err error) {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok || len(token) > MaxTokenBytes {
		return nil, nil, ErrMalformed
	}
	encodedPayload, encodedMAC, ok := strings.Cut(rest, ".")
	if !ok {
		return nil, nil, ErrMalformed
	}
	if payload, err = encoding.DecodeString(encodedPayload); err != nil {
		return nil, nil, ErrMalformed
	}
	if mac, err = encoding.DecodeString(encodedMAC); err != nil {
		return nil, nil, ErrMalformed
	}
	return payload, mac, nil
}

func sign(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(tokenPrefix))
	mac.Write(payload)
	return mac.Sum(nil)
}
