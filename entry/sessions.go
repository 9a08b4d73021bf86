package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/session"
)

// sessionReply is the body of POST /v1/sessions.
type sessionReply struct {
	Session string            `json:"session"`
	ID      string            `json:"id"`
	Home    domain.DataCentre `json:"home"`
	Expires time.Time         `json:"expires"`
}

// openSession serves POST /v1/sessions. It issues a session whose home is this
// node's data centre.
func (s *Server) openSession(c echo.Context) error {
	caller, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	issued, token, err := s.deps.Sessions.Issue(s.deps.Self.DataCentre, caller.organisation.ID, time.Now())
	if err != nil {
		return err
	}
	c.Response().Header().Set(session.Header, token)
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusCreated, sessionReply{Session: token, ID: issued.ID, Home: issued.Home, Expires: issued.ExpiresAt().UTC()})
}
