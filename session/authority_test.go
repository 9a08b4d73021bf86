package session_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/session"
)

var (
	oldSecret = bytes.Repeat([]byte{1}, session.MinSecretBytes)
	newSecret = bytes.Repeat([]byte{2}, session.MinSecretBytes)
	issued    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func authority(t *testing.T, secrets ...[]byte) *session.Authority {
	t.Helper()
	a, err := session.NewAuthority(secrets, time.Hour)
	assert.NilError(t, err)
	return a
}

func TestVerify(t *testing.T) {
	issuer := authority(t, oldSecret)
	want, token, err := issuer.Issue("palermo", "cucine", issued)
	assert.NilError(t, err)
	_, other, err := issuer.Issue("palermo", "pryce", issued)
	assert.NilError(t, err)
	payload, _, _ := strings.Cut(strings.TrimPrefix(token, "hrs1."), ".")
	_, otherMAC, _ := strings.Cut(strings.TrimPrefix(other, "hrs1."), ".")

	tests := []struct {
		name         string
		verifier     *session.Authority
		token        string
		organisation domain.OrganisationID
		after        time.Duration
		want         error
	}{
		{"valid", issuer, token, "cucine", time.Minute, nil},
		{"secret rotated", authority(t, newSecret, oldSecret), token, "cucine", time.Minute, nil},
		{"secret dropped", authority(t, newSecret), token, "cucine", time.Minute, session.ErrInvalidSignature},
		{"other organisation", issuer, token, "pryce", time.Minute, session.ErrWrongOrganisation},
		{"expired", issuer, token, "cucine", 2 * time.Hour, session.ErrExpired},
		{"payload under another signature", issuer, "hrs1." + payload + "." + otherMAC, "cucine", 0, session.ErrInvalidSignature},
		{"no signature", issuer, "hrs1." + payload + ".", "cucine", 0, session.ErrInvalidSignature},
		{"no dot", issuer, "hrs1." + payload, "cucine", 0, session.ErrMalformed},
		{"not base64", issuer, "hrs1.%%.%%", "cucine", 0, session.ErrMalformed},
		{"empty", issuer, "", "cucine", 0, session.ErrMalformed},
		{"too long", issuer, "hrs1." + strings.Repeat("A", session.MaxTokenBytes) + ".A", "cucine", 0, session.ErrMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.verifier.Verify(test.token, test.organisation, issued.Add(test.after))
			assert.ErrorIs(t, err, test.want)
			if test.want == nil {
				assert.Equal(t, got, want)
			}
		})
	}
}

func TestNewAuthorityRefusesWeakSecrets(t *testing.T) {
	for _, secrets := range [][][]byte{nil, {oldSecret, []byte("short")}} {
		_, err := session.NewAuthority(secrets, 0)
		assert.ErrorIs(t, err, session.ErrInvalidSecret)
	}
}
