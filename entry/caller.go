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

// callerInfo identifies the sender of a request, with the configuration snapshot
// that applies to it.
type callerInfo struct {
	snapshot     *config.Snapshot
	organisation *config.Organisation
	session      session.Session
	// sessionExpired is set if the session token is authentic but has expired.
	sessionExpired bool
}

// authenticate finds the organisation by its API key and verifies the session token.
func (s *Server) authenticate(r *http.Request) (callerInfo, error) {
	snapshot := s.deps.Config.Current()
	if snapshot == nil {
		p := newProblem(http.StatusServiceUnavailable, "no_configuration", domain.OutcomeUnknown, "the node has no configuration yet")
		p.retryAfter = time.Second
		return callerInfo{}, p
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	organisation := snapshot.OrganisationByKeyHash[config.HashKey(token)]
	if !ok || organisation == nil {
		return callerInfo{}, invalidRequest(http.StatusUnauthorized, "unauthorized", "Authorization", "a known API key is needed: Authorization: Bearer KEY")
	}
	c := callerInfo{snapshot: snapshot, organisation: organisation}
	return s.withSession(c, r.Header.Get(session.Header))
}

func (s *Server) withSession(c callerInfo, token string) (callerInfo, error) {
	if token == "" {
		return c, nil
	}
	var err error
	c.session, err = s.deps.Sessions.Verify(token, c.organisation.ID, time.Now())
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, session.ErrExpired):
		c.sessionExpired = true
		return c, nil
	case errors.Is(err, session.ErrMalformed):
		return c, invalidRequest(http.StatusBadRequest, "invalid_session", session.Header, "%s is not a session token", session.Header)
	default:
		return c, invalidRequest(http.StatusForbidden, "foreign_session", session.Header, "%s was not issued to this organisation", session.Header)
	}
}

// requestKey builds the full key of a request from the key in its header or path.
func (s *Server) requestKey(c callerInfo, client string) (domain.RequestKey, error) {
	if p := checkKey(client); p != nil {
		return domain.RequestKey{}, p
	}
	scope, ok := s.keyScope(c, client)
	if !ok {
		return domain.RequestKey{}, newProblem(http.StatusServiceUnavailable, "no_data_centre", domain.OutcomeUnknown, "no data centre is configured")
	}
	return domain.RequestKey{Scope: scope, Organisation: c.organisation.ID, Session: c.session.ID, Client: client}, nil
}
