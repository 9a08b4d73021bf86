package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/session"
)

// caller is who sent a request, and under which configuration.
type caller struct {
	snapshot     *config.Snapshot
	organisation *config.Organisation
	session      session.Session
	// stale is set if the session has expired: it is genuine, but not for use.
	stale bool
}

// identify finds the organisation by its API key and checks the session.
func (s *Server) identify(r *http.Request) (caller, error) {
	snapshot := s.parts.Config.Current()
	if snapshot == nil {
		p := newProblem(http.StatusServiceUnavailable, "no_configuration", domain.OutcomeUnknown, "the node has no configuration yet")
		p.retryAfter = time.Second
		return caller{}, p
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	organisation := snapshot.OrganisationByKeyHash[config.HashKey(token)]
	if !ok || organisation == nil {
		return caller{}, invalid(http.StatusUnauthorized, "unauthorized", "Authorization", "a known API key is needed: Authorization: Bearer KEY")
	}
	c := caller{snapshot: snapshot, organisation: organisation}
	return s.withSession(c, r.Header.Get(session.Header))
}

func (s *Server) withSession(c caller, token string) (caller, error) {
	if token == "" {
		return c, nil
	}
	var err error
	c.session, err = s.parts.Sessions.Verify(token, c.organisation.ID, time.Now())
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, session.ErrExpired):
		c.stale = true
		return c, nil
	case errors.Is(err, session.ErrMalformed):
		return c, invalid(http.StatusBadRequest, "invalid_session", session.Header, "%s is not a session token", session.Header)
	default:
		return c, invalid(http.StatusForbidden, "foreign_session", session.Header, "%s was not issued to this organisation", session.Header)
	}
}

// requestKey builds the key of a request from its client part.
func (s *Server) requestKey(c caller, client string) (domain.RequestKey, error) {
	if p := checkKey(client); p != nil {
		return domain.RequestKey{}, p
	}
	scope, ok := s.scopeOf(c, client)
	if !ok {
		return domain.RequestKey{}, newProblem(http.StatusServiceUnavailable, "no_data_centre", domain.OutcomeUnknown, "no data centre is configured")
	}
	return domain.RequestKey{Scope: scope, Organisation: c.organisation.ID, Session: c.session.ID, Client: client}, nil
}
