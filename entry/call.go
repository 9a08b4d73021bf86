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

// call serves ANY /services/{service}/...
func (s *Server) call(c echo.Context) error {
	who, err := s.identify(c.Request())
	if err != nil {
		return err
	}
	id, err := s.identityOf(who, c.Request(), c.Response().Header())
	if err != nil {
		return err
	}
	name := pathParam(c, "service")
	service := who.snapshot.Services[name]
	if service == nil {
		return s.refuse(c.Request().Context(), id, invalid(http.StatusNotFound, "unknown_service", "path", "there is no service %q", name))
	}
	body, release, err := s.openCallBody(c)
	if err != nil {
		return err
	}
	defer release()
	request, err := s.callSubmission(c, who, id, service, body)
	if err != nil {
		return err
	}
	handle := s.parts.Scheduler.Submit(request)
	defer handle.Close()
	s.advise(c)
	p := s.writeResponse(c, handle)
	if p == nil {
		return nil
	}
	p.Key = id.key.Client
	p.Repeatable = repeatable(service, request.Call)
	return p
}

func (s *Server) callSubmission(c echo.Context, who caller, id identity, service *config.ServiceRow, body callBody) (scheduler.Request, error) {
	r := c.Request()
	fallback := who.organisation.DefaultDeadline
	if service.DeadlineMillis > 0 {
		fallback = time.Duration(service.DeadlineMillis) * time.Millisecond
	}
	deadline, err := s.deadlineOf(r, fallback)
	if err != nil {
		return scheduler.Request{}, err
	}
	path := pathAtService(r, service.Name)
	print := fingerprint([]byte(service.Name), []byte(r.Method), []byte(path), body.describe())
	return scheduler.Request{
		Key:                id.key,
		GeneratedKey:       id.minted,
		Organisation:       who.organisation,
		Pool:               domain.ServicePool(service.Name),
		Fingerprint:        print,
		ContentHash:        binary.LittleEndian.Uint64(print[:]),
		Deadline:           deadline,
		CancelOnDisconnect: id.minted,
		Call: &endpoint.ServiceRequest{
			Method: r.Method,
			Path:   path,
			Header: towardsEndpoint(r.Header),
			Body:   body.reader,
			Length: body.length,
		},
	}, nil
}

// pathParam returns a decoded path parameter. The router leaves it encoded when
// the path has an encoded slash.
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

// pathAtService returns the path and query as the service sees them.
func pathAtService(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath)
	_, rest, _ := strings.Cut(path, "/")
	path = "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// repeatable tells whether the operators allow the call to be made again under
// another key. A once column that can't be read allows nothing.
func repeatable(service *config.ServiceRow, call *endpoint.ServiceRequest) *bool {
	rules, err := config.ParseNonIdempotentRules(service.Once)
	path, _, _ := strings.Cut(call.Path, "?")
	allowed := err == nil && !rules.Match(call.Method, path)
	return &allowed
}

// writeResponse copies the response to the caller. It returns a problem while
// that can still be told; a response that breaks later breaks the connection,
// so that the caller can't take a part for the whole.
func (s *Server) writeResponse(c echo.Context, handle *scheduler.Handle) *Problem {
	reader := newAnswerReader(c.Request(), handle, answer.Position{NeedHead: true}, s.options.KeepAlive)
	defer reader.close()
	begun := false
	for {
		batch, err := reader.next()
		if p := failure(batch, err); p != nil {
			if begun {
				panic(http.ErrAbortHandler)
			}
			return p
		}
		if batch.Head != nil {
			if p := s.writeHead(c, *batch.Head); p != nil {
				return p
			}
			begun = true
		}
		if s.writeBody(c, batch.Chunks) != nil || batch.End != nil {
			return nil
		}
	}
}

// failure returns the problem of an answer that can't be completed.
func failure(batch answer.Batch, err error) *Problem {
	switch {
	case err != nil:
		return readProblem(err)
	case batch.End != nil && !batch.End.Complete():
		return endProblem(*batch.End)
	default:
		return nil
	}
}

func (s *Server) writeHead(c echo.Context, head answer.Head) *Problem {
	if head.Status < http.StatusOK || head.Status > 999 {
		return newProblem(http.StatusBadGateway, string(answer.CodeBroken), domain.OutcomeRan, "the endpoint answered with an invalid status")
	}
	towardsCaller(c.Response().Header(), head.Header)
	c.Response().WriteHeader(head.Status)
	return nil
}

func (s *Server) writeBody(c echo.Context, chunks []answer.Chunk) error {
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
