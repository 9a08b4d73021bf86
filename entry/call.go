package entry

import (
	"encoding/binary"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/scheduler"
)

const servicesPath = "/services/"

// call serves /services/{service}/... with any method.
func (s *Server) call(c echo.Context) error {
	caller, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	id, err := s.resolveKey(caller, c.Request(), c.Response().Header())
	if err != nil {
		return err
	}
	name := pathParam(c, "service")
	service := caller.snapshot.Services[name]
	if service == nil {
		return s.completeRefusal(c.Request().Context(), id, invalidRequest(http.StatusNotFound, "unknown_service", "path", "there is no service %q", name))
	}
	body, release, err := s.openCallBody(c)
	if err != nil {
		return err
	}
	defer release()
	request, err := s.callSubmission(c, caller, id, service, body)
	if err != nil {
		return err
	}
	handle := s.deps.Scheduler.Submit(request)
	defer handle.Close()
	s.closeIfDraining(c)
	p := s.writeResponse(c, handle)
	if p == nil {
		return nil
	}
	p.Key = id.key.Client
	p.Repeatable = repeatable(service, request.Call)
	return p
}

// callSubmission builds the scheduler's request for a service call.
func (s *Server) callSubmission(c echo.Context, caller callerInfo, id requestIdentity, service *config.ServiceRow, body callBody) (scheduler.Request, error) {
	r := c.Request()
	fallback := caller.organisation.DefaultDeadline
	if service.DeadlineMillis > 0 {
		fallback = time.Duration(service.DeadlineMillis) * time.Millisecond
	}
	deadline, err := s.requestDeadline(r, fallback)
	if err != nil {
		return scheduler.Request{}, err
	}
	path := servicePath(r, service.Name)
	digest := fingerprint([]byte(service.Name), []byte(r.Method), []byte(path), body.fingerprintInput())
	return scheduler.Request{
		Key:                id.key,
		GeneratedKey:       id.generated,
		Organisation:       caller.organisation,
		Pool:               domain.ServicePool(service.Name),
		Fingerprint:        digest,
		ContentHash:        binary.LittleEndian.Uint64(digest[:]),
		Deadline:           deadline,
		CancelOnDisconnect: id.generated,
		Call: &endpoint.ServiceRequest{
			Method: r.Method,
			Path:   path,
			Header: endpointHeaders(r.Header),
			Body:   body.reader,
			Length: body.length,
		},
	}, nil
}

// pathParam returns a decoded path parameter. The router does not decode
// parameters if the path contains an encoded slash.
func pathParam(c echo.Context, name string) string {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value
	}
	decoded, err := url.PathUnescape(value)
	if err != nil {
		return value
	}
	return decoded
}

// servicePath returns the path and query that are sent to the service.
func servicePath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath)
	_, rest, _ := strings.Cut(path, "/")
	path = "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// repeatable reports whether the configuration allows the call to be repeated
// under another key. It does not if the once column is invalid.
func repeatable(service *config.ServiceRow, call *endpoint.ServiceRequest) *bool {
	rules, err := config.ParseNonIdempotentRules(service.Once)
	path, _, _ := strings.Cut(call.Path, "?")
	allowed := err == nil && !rules.Match(call.Method, path)
	return &allowed
}

// writeResponse copies the response to the caller. It returns a problem if the
// response fails before its head has been written. After that it aborts the
// connection, so that the caller can't take a truncated response for a complete one.
func (s *Server) writeResponse(c echo.Context, handle *scheduler.Handle) *Problem {
	reader := newAnswerReader(c.Request(), handle, answer.Position{NeedHead: true}, s.options.KeepAliveInterval)
	defer reader.close()
	headWritten := false
	for {
		batch, err := reader.next()
		if p := answerProblem(batch, err); p != nil {
			if headWritten {
				panic(http.ErrAbortHandler)
			}
			return p
		}
		if batch.Head != nil {
			if p := s.writeResponseHead(c, *batch.Head); p != nil {
				return p
			}
			headWritten = true
		}
		if s.writeChunks(c, batch.Chunks) != nil || batch.End != nil {
			return nil
		}
	}
}

// answerProblem returns a problem if reading failed or the answer ended incomplete.
func answerProblem(batch answer.Batch, err error) *Problem {
	switch {
	case err != nil:
		return problemFromReadError(err)
	case batch.End != nil && !batch.End.Complete():
		return problemFromEnd(*batch.End)
	default:
		return nil
	}
}

func (s *Server) writeResponseHead(c echo.Context, head answer.Head) *Problem {
	if head.Status < http.StatusOK || head.Status > 999 {
		return newProblem(http.StatusBadGateway, string(answer.CodeBroken), domain.OutcomeRan, "the endpoint answered with an invalid status")
	}
	copyResponseHeaders(c.Response().Header(), head.Header)
	c.Response().WriteHeader(head.Status)
	return nil
}

func (s *Server) writeChunks(c echo.Context, chunks []answer.Chunk) error {
	if len(chunks) == 0 {
		return nil
	}
	control := http.NewResponseController(c.Response())
	_ = control.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	for _, chunk := range chunks {
		if _, err := c.Response().Write(chunk.Data); err != nil {
			return err
		}
	}
	return control.Flush()
}
