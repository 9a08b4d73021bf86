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
	who, err := s.identify(c.Request())
	if err != nil {
		return err
	}
	id, err := s.identityOf(who, c.Request(), c.Response().Header())
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
	request, err := s.chatSubmission(c, who, id, chat)
	if err != nil {
		return err
	}
	// Nothing may be refused after Submit but by its answer.
	position, err := resumePosition(c.Request())
	if err != nil {
		return err
	}
	handle := s.parts.Scheduler.Submit(request)
	defer handle.Close()
	s.advise(c)
	if chat.Stream {
		return s.streamEvents(c, handle, id, position)
	}
	return s.writeCompletion(c, handle, id)
}

// chatSubmission checks the request against the configuration.
func (s *Server) chatSubmission(c echo.Context, who caller, id identity, chat *chatRequest) (scheduler.Request, error) {
	ctx := c.Request().Context()
	model := who.snapshot.Models[chat.Model]
	if model == nil {
		return scheduler.Request{}, s.refuse(ctx, id, invalid(http.StatusNotFound, "unknown_model", "model", "there is no model %q", chat.Model))
	}
	if bound := model.MaxPromptTokens; bound > 0 && chat.tokens > bound {
		return scheduler.Request{}, s.refuse(ctx, id, invalid(http.StatusBadRequest, "prompt_too_long", "messages", "the prompt has about %d tokens, the model takes %d", chat.tokens, bound))
	}
	answerTokens, field := chat.answerTokens(model.MaxAnswerTokens)
	if bound := model.MaxAnswerTokens; bound > 0 && answerTokens > bound {
		return scheduler.Request{}, s.refuse(ctx, id, invalid(http.StatusBadRequest, "answer_too_long", field, "the model gives at most %d tokens", bound))
	}
	deadline, err := s.deadlineOf(c.Request(), who.organisation.DefaultDeadline)
	if err != nil {
		return scheduler.Request{}, err
	}
	return scheduler.Request{
		Key:          id.key,
		GeneratedKey: id.minted,
		Organisation: who.organisation,
		Pool:         domain.ModelPool(chat.Model),
		Fingerprint:  chat.fingerprint,
		ContentHash:  chat.content,
		PromptTokens: chat.tokens,
		AnswerTokens: answerTokens,
		Blocks:       chat.blocks,
		Deadline:     deadline,
		// Without a stream the caller learns a minted key only with the answer.
		CancelOnDisconnect: id.minted && !chat.Stream,
		Body:               chat.engineBody,
	}, nil
}

// readBody reads a bounded body within the time allowed. Its memory is accounted
// for until release is called.
func (s *Server) readBody(c echo.Context) (body []byte, release func(), err error) {
	r := c.Request()
	limit := s.options.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	reserved := limit
	if r.ContentLength >= 0 {
		reserved = r.ContentLength
	}
	if !s.bodies.take(reserved) {
		return nil, nil, s.full()
	}
	release = func() { s.bodies.give(reserved) }
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, limit))
	if err != nil {
		release()
		return nil, nil, bodyProblem(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

func tooLarge(limit int64) *Problem {
	return invalid(http.StatusRequestEntityTooLarge, "body_too_large", "body", "the body may have at most %d bytes", limit)
}

func bodyProblem(err error, limit int64) *Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(limit)
	}
	return invalid(http.StatusBadRequest, "body_unreadable", "body", "the body did not arrive whole")
}

// full refuses a body for which there is no memory. Nothing of it was looked at,
// so that an earlier attempt of the same key may have run.
func (s *Server) full() *Problem {
	p := newProblem(http.StatusServiceUnavailable, "out_of_memory", domain.OutcomeUnknown, "the node holds as many bodies as it may")
	p.retryAfter = time.Second
	return p
}

// advise makes the caller's next request go to another node while this one drains.
func (s *Server) advise(c echo.Context) {
	if s.parts.Scheduler.Draining() {
		c.Response().Header().Set("Connection", "close")
	}
}
