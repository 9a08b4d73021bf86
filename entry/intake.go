package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/session"
)

// TimeoutHeader is the HTTP header with the time in seconds, a decimal number,
// that a request may wait for its answer to begin.
const TimeoutHeader = "Request-Timeout"

// identity is a request's key and what follows from it.
type identity struct {
	key domain.RequestKey
	// minted says that the caller sent no key.
	minted bool
}

// identityOf takes the caller's key or mints one, and puts it into the headers of
// the response. A stale session is refused here.
func (s *Server) identityOf(who caller, r *http.Request, header http.Header) (identity, error) {
	client := r.Header.Get(KeyHeader)
	minted := client == ""
	if minted {
		client = mint(s.parts.Self)
	}
	key, err := s.requestKey(who, client)
	if err != nil {
		return identity{}, err
	}
	header.Set(KeyHeader, client)
	id := identity{key: key, minted: minted}
	if who.stale {
		return id, s.refuse(r.Context(), id, invalid(http.StatusForbidden, "stale_session", session.Header, "the session has expired; open another"))
	}
	return id, nil
}

// refuse completes the problem of a request refused for a reason that need not
// have stood at an earlier attempt of the same key: the home is asked whether
// there was one.
func (s *Server) refuse(ctx context.Context, id identity, p *Problem) *Problem {
	p.Key = id.key.Client
	if id.minted {
		return p
	}
	_, handle, err := s.parts.Scheduler.Find(ctx, id.key)
	if err == nil {
		handle.Close()
	}
	if errors.Is(err, scheduler.ErrNotFound) {
		return p
	}
	p.Outcome = domain.OutcomeUnknown
	p.Summary.Type = string(p.Outcome)
	return p
}

// deadlineOf returns how long the request may wait.
func (s *Server) deadlineOf(r *http.Request, fallback time.Duration) (time.Duration, error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return fallback, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	limit := s.options.MaxTimeout
	if err != nil || !(seconds > 0 && seconds <= limit.Seconds()) {
		return 0, invalid(http.StatusBadRequest, "invalid_timeout", TimeoutHeader, "%s must be a number of seconds above 0, at most %g", TimeoutHeader, limit.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
