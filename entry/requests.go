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
	// Outcome and Detail are set for a failed request.
	Outcome domain.Outcome `json:"outcome,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	// Answer is a model's answer, Response a plain one, once finished.
	Answer   *completion    `json:"answer,omitempty"`
	Response *plainResponse `json:"response,omitempty"`
}

// plainResponse is a plain call's response; the body is base64 in JSON.
type plainResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// getRequest serves GET /v1/requests/{key}: the state and, when it is finished,
// the answer; or the event stream, if the caller accepts that.
func (s *Server) getRequest(c echo.Context) error {
	id, err := s.namedRequest(c)
	if err != nil {
		return err
	}
	position, err := resumePosition(c.Request())
	if err != nil {
		return err
	}
	progress, handle, err := s.parts.Scheduler.Find(c.Request().Context(), id.key)
	if err != nil {
		return findProblem(err, id)
	}
	defer handle.Close()
	if strings.Contains(c.Request().Header.Get("Accept"), "text/event-stream") {
		return s.streamEvents(c, handle, id, position)
	}
	state := requestState{Key: id.key.Client, State: progress}
	if progress == scheduler.ProgressFinished || progress == scheduler.ProgressFailed {
		if p := s.fill(c.Request(), &state, handle); p != nil {
			p.Key = id.key.Client
			return p
		}
	}
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusOK, state)
}

// cancelRequest serves DELETE /v1/requests/{key}.
func (s *Server) cancelRequest(c echo.Context) error {
	id, err := s.namedRequest(c)
	if err != nil {
		return err
	}
	if err := s.parts.Scheduler.Cancel(c.Request().Context(), id.key); err != nil {
		return findProblem(err, id)
	}
	return c.NoContent(http.StatusAccepted)
}

// namedRequest returns the request that the path names, among the caller's own.
// An expired session still gives access to what was asked under it.
func (s *Server) namedRequest(c echo.Context) (identity, error) {
	who, err := s.identify(c.Request())
	if err != nil {
		return identity{}, err
	}
	key, err := s.requestKey(who, pathParam(c, "key"))
	return identity{key: key}, err
}

func findProblem(err error, id identity) *Problem {
	var p *Problem
	if errors.Is(err, scheduler.ErrNotFound) {
		p = newProblem(http.StatusNotFound, "unknown_request", domain.OutcomeUnknown, "no request under this key is held; it may have been forgotten")
	} else {
		p = endProblem(readEnd(err))
	}
	p.Key = id.key.Client
	return p
}

// fill puts the answer of an ended request into the state.
func (s *Server) fill(r *http.Request, state *requestState, handle *scheduler.Handle) *Problem {
	head, chunks, end, err := s.readAll(r, handle)
	switch {
	case err != nil:
		return readProblem(err)
	case !end.Complete():
		state.State, state.Outcome, state.Detail = scheduler.ProgressFailed, end.Outcome, end.Reason
		return nil
	case head != nil:
		state.Response = &plainResponse{Status: head.Status, Header: head.Header, Body: joined(chunks)}
		return nil
	}
	state.Answer = newCompletion()
	for _, chunk := range chunks {
		if err := state.Answer.add(chunk.Data); err != nil {
			return notJSON()
		}
	}
	state.Answer.complete()
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

func joined(chunks []answer.Chunk) []byte {
	body := []byte{}
	for _, chunk := range chunks {
		body = append(body, chunk.Data...)
	}
	return body
}
