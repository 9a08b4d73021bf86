package entry

import (
	"errors"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
)

// requestState is the body of GET /v1/requests/{key}.
type requestState struct {
	Key   string             `json:"key"`
	State scheduler.Progress `json:"state"`
	// Outcome and Detail are set if the request failed.
	Outcome domain.Outcome `json:"outcome,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	// Answer is set for a finished model request, Response for a finished service
	// call.
	Answer   *completion      `json:"answer,omitempty"`
	Response *serviceResponse `json:"response,omitempty"`
}

// serviceResponse is the response of a service call. The body is encoded as base64.
type serviceResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// getRequest serves GET /v1/requests/{key}. It returns the state and, once the
// request is finished, the answer; or the event stream if the caller accepts that.
func (s *Server) getRequest(c echo.Context) error {
	id, err := s.requestFromPath(c)
	if err != nil {
		return err
	}
	position, err := resumePosition(c.Request())
	if err != nil {
		return err
	}
	progress, handle, err := s.deps.Scheduler.Find(c.Request().Context(), id.key)
	if err != nil {
		return problemFromFindError(err, id)
	}
	defer handle.Close()
	if strings.Contains(c.Request().Header.Get("Accept"), "text/event-stream") {
		return s.streamEvents(c, handle, id, position)
	}
	state := requestState{Key: id.key.Client, State: progress}
	if progress == scheduler.ProgressFinished || progress == scheduler.ProgressFailed {
		if p := s.addResult(c.Request(), &state, handle); p != nil {
			p.Key = id.key.Client
			return p
		}
	}
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusOK, state)
}

// cancelRequest serves DELETE /v1/requests/{key}.
func (s *Server) cancelRequest(c echo.Context) error {
	id, err := s.requestFromPath(c)
	if err != nil {
		return err
	}
	if err := s.deps.Scheduler.Cancel(c.Request().Context(), id.key); err != nil {
		return problemFromFindError(err, id)
	}
	return c.NoContent(http.StatusAccepted)
}

// requestFromPath returns the identity of the caller's request whose key is in the
// path. An expired session still gives access to the requests made in it.
func (s *Server) requestFromPath(c echo.Context) (requestIdentity, error) {
	caller, err := s.authenticate(c.Request())
	if err != nil {
		return requestIdentity{}, err
	}
	key, err := s.requestKey(caller, pathParam(c, "key"))
	return requestIdentity{key: key}, err
}

func problemFromFindError(err error, id requestIdentity) *Problem {
	var p *Problem
	if errors.Is(err, scheduler.ErrNotFound) {
		p = newProblem(http.StatusNotFound, "unknown_request", domain.OutcomeUnknown, "no request under this key is held; it may have been forgotten")
	} else {
		p = problemFromEnd(endFromReadError(err))
	}
	p.Key = id.key.Client
	return p
}

// addResult adds the answer of a finished request, or the failure, to the state.
func (s *Server) addResult(r *http.Request, state *requestState, handle *scheduler.Handle) *Problem {
	head, chunks, end, err := s.readAll(r, handle)
	switch {
	case err != nil:
		return problemFromReadError(err)
	case !end.Complete():
		state.State, state.Outcome, state.Detail = scheduler.ProgressFailed, end.Outcome, end.Reason
		return nil
	case head != nil:
		state.Response = &serviceResponse{Status: head.Status, Header: head.Header, Body: joinChunks(chunks)}
		return nil
	}
	state.Answer = newCompletion()
	for _, chunk := range chunks {
		if err := state.Answer.addEvent(chunk.Data); err != nil {
			return invalidEventProblem()
		}
	}
	state.Answer.finish()
	return nil
}

func (s *Server) readAll(r *http.Request, handle *scheduler.Handle) (*answer.Head, []answer.Chunk, answer.End, error) {
	reader := newAnswerReader(r, handle, answer.Position{NeedHead: true}, s.options.KeepAliveInterval)
	defer reader.close()
	var head *answer.Head
	var chunks []answer.Chunk
	for {
		batch, err := reader.next()
		if err != nil {
			return nil, nil, answer.End{}, err
		}
		if batch.Head != nil {
			head = batch.Head
		}
		chunks = append(chunks, batch.Chunks...)
		if batch.End != nil {
			return head, chunks, *batch.End, nil
		}
	}
}

func joinChunks(chunks []answer.Chunk) []byte {
	body := []byte{}
	for _, chunk := range chunks {
		body = append(body, chunk.Data...)
	}
	return body
}
