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

// TimeoutHeader is the HTTP header that limits the time until the answer begins,
// as a decimal number of seconds.
const TimeoutHeader = "Request-Timeout"

// requestIdentity is the key of a request and where it comes from.
type requestIdentity struct {
	key domain.RequestKey
	// generated is true if the caller sent no key and this node generated one.
	generated bool
}

// resolveKey returns the caller's key, or generates one, and sets it in the
// response headers. It rejects requests whose session has expired.
func (s *Server) resolveKey(caller callerInfo, r *http.Request, header http.Header) (requestIdentity, error) {
	client := r.Header.Get(KeyHeader)
	generated := client == ""
	if generated {
		client = generateKey(s.deps.Self)
	}
	key, err := s.requestKey(caller, client)
	if err != nil {
		return requestIdentity{}, err
	}
	header.Set(KeyHeader, client)
	id := requestIdentity{key: key, generated: generated}
	if caller.sessionExpired {
		return id, s.completeRefusal(r.Context(), id, invalidRequest(http.StatusForbidden, "stale_session", session.Header, "the session has expired; open another"))
	}
	return id, nil
}

// completeRefusal sets the key and the outcome of a refusal whose reason may not
// have applied to an earlier attempt with the same key. Unless the key was
// generated, it looks the key up; the outcome is unknown unless no such attempt is
// recorded.
func (s *Server) completeRefusal(ctx context.Context, id requestIdentity, p *Problem) *Problem {
	p.Key = id.key.Client
	if id.generated {
		return p
	}
	_, handle, err := s.deps.Scheduler.Find(ctx, id.key)
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

// requestDeadline returns the caller's limit on the time until the answer begins,
// or the fallback if the caller sent none.
func (s *Server) requestDeadline(r *http.Request, fallback time.Duration) (time.Duration, error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return fallback, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	limit := s.options.MaxTimeout
	if err != nil || !(seconds > 0 && seconds <= limit.Seconds()) {
		return 0, invalidRequest(http.StatusBadRequest, "invalid_timeout", TimeoutHeader, "%s must be a number of seconds above 0, at most %g", TimeoutHeader, limit.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
