package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	caller, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	id, err := s.resolveKey(caller, c.Request(), c.Response().Header())
	if err != nil {
		return err
	}
	body, release, err := s.readBody(c)
	if err != nil {
		return err
	}
	defer release()
	chat, err := parseChat(body)
	if err != nil {
		return err
	}
	request, err := s.chatSubmission(c, caller, id, chat)
	if err != nil {
		return err
	}
	// After Submit the request may be running, so that errors must come from its
	// answer only. All input is checked before.
	position, err := resumePosition(c.Request())
	if err != nil {
		return err
	}
	handle := s.deps.Scheduler.Submit(request)
	defer handle.Close()
	s.closeIfDraining(c)
	if chat.Stream {
		return s.streamEvents(c, handle, id, position)
	}
	return s.writeCompletion(c, handle, id)
}

// chatSubmission checks the request against the configuration and builds the
// scheduler's request.
func (s *Server) chatSubmission(c echo.Context, caller callerInfo, id requestIdentity, chat *chatRequest) (scheduler.Request, error) {
	ctx := c.Request().Context()
	model := caller.snapshot.Models[chat.Model]
	if model == nil {
		return scheduler.Request{}, s.completeRefusal(ctx, id, invalidRequest(http.StatusNotFound, "unknown_model", "model", "there is no model %q", chat.Model))
	}
	if limit := model.MaxPromptTokens; limit > 0 && chat.promptTokens > limit {
		return scheduler.Request{}, s.completeRefusal(ctx, id, invalidRequest(http.StatusBadRequest, "prompt_too_long", "messages", "the prompt has about %d tokens, the model takes %d", chat.promptTokens, limit))
	}
	answerTokens, field := chat.maxAnswerTokens(model.MaxAnswerTokens)
	if limit := model.MaxAnswerTokens; limit > 0 && answerTokens > limit {
		return scheduler.Request{}, s.completeRefusal(ctx, id, invalidRequest(http.StatusBadRequest, "answer_too_long", field, "the model gives at most %d tokens", limit))
	}
	deadline, err := s.requestDeadline(c.Request(), caller.organisation.DefaultDeadline)
	if err != nil {
		return scheduler.Request{}, err
	}
	return scheduler.Request{
		Key:          id.key,
		GeneratedKey: id.generated,
		Organisation: caller.organisation,
		Pool:         domain.ModelPool(chat.Model),
		Fingerprint:  chat.fingerprint,
		ContentHash:  chat.contentHash,
		PromptTokens: chat.promptTokens,
		AnswerTokens: answerTokens,
		Blocks:       chat.prefixBlocks,
		Deadline:     deadline,
		// Without streaming the caller learns a generated key only with the answer, so
		// that it can't come back for an answer that it has not received.
		CancelOnDisconnect: id.generated && !chat.Stream,
		Body:               chat.engineBody,
	}, nil
}

// readBody reads a body of limited size within BodyTimeout. Its memory is
// accounted for until release is called.
func (s *Server) readBody(c echo.Context) (body []byte, release func(), err error) {
	r := c.Request()
	limit := s.options.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, nil, bodyTooLargeProblem(limit)
	}
	reserved := limit
	if r.ContentLength >= 0 {
		reserved = r.ContentLength
	}
	if !s.bodies.reserve(reserved) {
		return nil, nil, s.memoryProblem()
	}
	release = func() { s.bodies.release(reserved) }
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, limit))
	if err != nil {
		release()
		return nil, nil, problemFromBodyError(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

func bodyTooLargeProblem(limit int64) *Problem {
	return invalidRequest(http.StatusRequestEntityTooLarge, "body_too_large", "body", "the body may have at most %d bytes", limit)
}

func problemFromBodyError(err error, limit int64) *Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bodyTooLargeProblem(limit)
	}
	return invalidRequest(http.StatusBadRequest, "body_unreadable", "body", "the body did not arrive whole")
}

// memoryProblem refuses a body that would exceed the memory limit for bodies. The
// outcome is unknown: the request was not looked up, and an earlier attempt with
// the same key may have run.
func (s *Server) memoryProblem() *Problem {
	p := newProblem(http.StatusServiceUnavailable, "out_of_memory", domain.OutcomeUnknown, "the node holds as many bodies as it may")
	p.retryAfter = time.Second
	return p
}

// closeIfDraining asks the caller to close its connection while this node drains,
// so that its next request goes to another node.
func (s *Server) closeIfDraining(c echo.Context) {
	if s.deps.Scheduler.Draining() {
		c.Response().Header().Set("Connection", "close")
	}
}
